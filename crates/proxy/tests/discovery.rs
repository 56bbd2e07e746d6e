//! The watch of the endpoint list: when it begins, how it is replaced when it ends or falls silent, and what
//! happens while discovery is slow or down.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// In automatic mode the proxy begins the watch itself, and begins it again from the revision that it has
/// when discovery ends it.
#[test]
fn an_automatic_watch_begins_at_the_start_and_continues_after_its_end() {
    let mut watching = WatchingProxy::start();
    let target = &watching.target;
    assert!(target.contains("stream=1") && target.contains("index=1"), "{target}");

    // The line before the end must not be lost.
    watching.watch.send_line(&delta(2, &[]));
    watching.watch.end();

    let call = watching.discovery.next_call();
    assert!(call.target.contains("stream=1") && call.target.contains("index=2"), "{}", call.target);
    let draining = endpoint("s-0", watching.upstream.address, EndpointState::Draining);
    call.watch.send_line(&delta(3, &[draining]));
    wait_until("the idle connection is closed", || watching.upstream.closed_connections() == 1);
    assert_eq!(watching.client.exchange(&at_most_once_request(5000, "x")).status(), 503);
    assert_eq!(watching.upstream.requests().len(), 1);
}

/// Discovery sends a line every 2 s; a watch without one is dead though it has not ended.
#[test]
fn a_silent_watch_is_replaced() {
    let discovery = StubDiscovery::start();
    let _proxy = ProxyConfig::new(&[unused_address()])
        .discovery(discovery.address)
        .discovery_mode(DiscoveryMode::Subscribe)
        .start();

    // Each watch begins with a line: the decisions poll again by themselves where no response came.
    let silent = discovery.next_call();
    silent.watch.send_line(&snapshot(2, &[]));
    let dripping = discovery.next_call();
    dripping.watch.send_line(&snapshot(3, &[]));
    // Bytes that complete no line don't count.
    std::thread::spawn(move || {
        while dripping.watch.try_send_chunk(" ").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });

    discovery.next_call();
}

/// The cached list is old, so an upstream in it may be draining. Nothing is sent before the list of discovery
/// is complete, unless that takes long.
#[test]
fn a_new_process_waits_for_the_present_list_before_it_forwards_requests() {
    let draining = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let ready = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let discovery = StubDiscovery::start();
    let proxy = ProxyConfig::new(&[draining.address, ready.address]).discovery(discovery.address).launch();
    let send_if_listening = || {
        if proxy.is_listening() {
            proxy.connect().exchange(&idempotent_request(5000));
        }
    };

    let mut call = None;
    wait_until("the proxy calls discovery", || {
        send_if_listening();
        call = discovery.try_next_call();
        call.is_some()
    });
    let watch = call.expect("a watch").watch;
    // The list takes longer than the grace period of a draining upstream.
    let list = delta(2, &[endpoint("s-0", draining.address, EndpointState::Draining)]);
    for piece in list.as_bytes().chunks(2) {
        send_if_listening();
        std::thread::sleep(Duration::from_millis(5));
        watch.send_in_chunks(piece, piece.len());
    }
    wait_until("the proxy listens", || proxy.is_listening());
    for _ in 0..10 {
        assert_eq!(proxy.connect().exchange(&idempotent_request(5000)).status(), 200);
    }

    assert_eq!(draining.requests().len(), 0, "a request was sent by the cached list");
}

/// Discovery that responds to every call with the same list after a delay.
fn slow_discovery(delay: Duration, list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            std::thread::spawn(move || respond_late(&stream, delay, &list));
        }
    });
    address
}

fn respond_late(mut stream: &TcpStream, delay: Duration, list: &str) {
    let _call = Message::read(&mut BufReader::new(stream));
    std::thread::sleep(delay);
    let response = format!("{RESPONSE_HEAD}{:x}\r\n{list}\r\n", list.len());
    // The proxy may have closed the connection.
    let _ = stream.write_all(response.as_bytes());
    std::thread::sleep(TIMEOUT);
}

/// Where discovery is overloaded, a call that is given up loses its place in the queue, so the next one must
/// be given more time.
#[test]
fn an_update_takes_effect_in_time_though_discovery_responds_late() {
    for mode in [DiscoveryMode::Automatic, DiscoveryMode::Subscribe] {
        let draining = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        let list = snapshot(2, &[endpoint("s-0", draining.address, EndpointState::Draining)]);
        let discovery = slow_discovery(Duration::from_millis(1500), list);

        let start = Instant::now();
        let proxy = ProxyConfig::new(&[draining.address]).discovery(discovery).discovery_mode(mode).start();
        let mut client = proxy.connect();
        assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);

        wait_until("the idle connection is closed", || draining.closed_connections() == 1);
        assert!(start.elapsed() < NOTIFIED_AFTER, "{:?}", start.elapsed());
    }
}

/// A proxy that waited for discovery for ever would never serve. Discovery is down, or ends each response
/// behind its head.
#[test]
fn a_new_process_serves_by_the_cached_list_when_discovery_sends_none() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    for discovery in [unused_address(), StubDiscovery::start().address] {
        let start = Instant::now();
        let proxy = ProxyConfig::new(&[upstream.address]).discovery(discovery).start();

        assert_eq!(proxy.connect().exchange(&idempotent_request(5000)).status(), 200);
        assert!(start.elapsed() < NOTIFIED_AFTER, "{:?}", start.elapsed());
    }
}

/// Accepts the calls that have queued up at a listener, and responds to each with a list.
fn respond_to_all_calls(discovery: TcpListener, list: String) {
    std::thread::spawn(move || {
        for mut stream in discovery.incoming().map_while(Result::ok) {
            // The proxy may have closed the connections of earlier calls.
            if Message::read(&mut BufReader::new(&stream)).is_some() {
                let _ = stream.write_all(RESPONSE_HEAD.as_bytes());
                let _ = write!(&stream, "{:x}\r\n{list}\n\r\n", list.len() + 1);
            }
            std::mem::forget(stream);
        }
    });
}

/// Idle clients have taken all sockets while discovery was down. Once it has recovered, its list must take
/// effect in time and new clients must be served.
#[test]
fn the_list_of_recovered_discovery_takes_effect_though_idle_clients_hold_all_sockets() {
    for mode in [DiscoveryMode::Automatic, DiscoveryMode::Subscribe] {
        let removed = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        let added = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        // Connections are established, but get no response until a call is accepted.
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = ProxyConfig::new(&[removed.address])
            .discovery(discovery.local_addr().unwrap())
            .discovery_mode(mode)
            .sockets(64)
            .start();
        let mut idle = Vec::new();
        let mut silent = Vec::new();
        for _ in 0..40 {
            let mut client = proxy.connect();
            assert_eq!(client.exchange(&idempotent_request(8000)).status(), 200);
            idle.push(client);
            silent.push(proxy.connect());
        }
        wait_until("a call to discovery has failed", || {
            proxy.has_logged(log_text::WATCH_ENDED) || proxy.has_logged(log_text::CALL_TIMED_OUT)
        });

        let recovered_at = Instant::now();
        let list = delta(
            2,
            &[
                endpoint("s-0", removed.address, EndpointState::Removed),
                endpoint("s-1", added.address, EndpointState::Ready),
            ],
        );
        respond_to_all_calls(discovery, list);

        wait_until("the list takes effect", || {
            silent.push(proxy.connect());
            let response = proxy.connect().exchange(&idempotent_request(8000));
            response.status() == 200 && !added.requests().is_empty()
        });
        assert!(recovered_at.elapsed() < NOTIFIED_AFTER, "{:?}", recovered_at.elapsed());
    }
}
