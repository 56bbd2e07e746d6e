//! The watch of the endpoint list: when the proxy starts it, how the proxy replaces a watch that has ended or
//! sends nothing, and what the proxy does while discovery is slow or down.

mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The proxy counts as notified of a change this long after discovery had the change and could be reached.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);

/// In automatic mode the proxy starts the watch by itself. When discovery ends the watch, the proxy starts
/// another one from the revision that it has.
#[test]
fn an_automatic_watch_starts_with_the_process_and_is_resumed_after_its_end() {
    let mut setup = WatchingProxy::start();
    let target = &setup.watch_target;
    assert!(target.contains("stream=1") && target.contains("index=1"), "{target}");

    // The last line before the end of the watch must not be lost.
    setup.watch.send_line(&delta(2, &[]));
    setup.watch.end();

    let call = setup.discovery.next_call();
    assert!(call.target.contains("stream=1") && call.target.contains("index=2"), "{}", call.target);
    let draining = endpoint("s-0", setup.upstream.address, EndpointState::Draining);
    call.watch.send_line(&delta(3, &[draining]));
    wait_until("the idle connection to the upstream is closed", || setup.upstream.closed_connections() == 1);
    assert_eq!(setup.client.exchange(&at_most_once_request(5000, "x")).status(), 503);
    assert_eq!(setup.upstream.requests().len(), 1);
}

/// Discovery sends a line at least every 2 s. A watch that receives no complete line for longer is dead,
/// although its connection is open.
#[test]
fn a_watch_without_complete_lines_is_replaced() {
    let discovery = StubDiscovery::start();
    let _proxy = ProxyConfig::new(&[unused_address()])
        .discovery(discovery.address)
        .discovery_mode(DiscoveryMode::Subscribe)
        .start();

    // Each watch first gets a list. Without one, the decision logic would call again for lack of a response.
    let silent = discovery.next_call();
    silent.watch.send_line(&snapshot(2, &[]));
    let trickling = discovery.next_call();
    trickling.watch.send_line(&snapshot(3, &[]));
    // Bytes that complete no line do not keep a watch alive.
    std::thread::spawn(move || {
        while trickling.watch.try_send_chunk(" ").is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
    });

    discovery.next_call();
}

/// Guards against requests to an upstream that is ready in the outdated cached list but draining by now. A
/// new process sends no requests before the list of discovery is complete, unless that takes too long.
#[test]
fn a_new_process_waits_for_the_current_list_before_it_forwards_requests() {
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
    let watch = call.expect("the proxy calls discovery").watch;
    // The transfer of the list takes longer than the grace period of a draining upstream.
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

    assert_eq!(draining.requests().len(), 0, "a request was forwarded based on the cached list");
}

/// Starts a discovery service that responds to every call with the same list after a delay, and returns its
/// address.
fn start_slow_discovery(delay: Duration, list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            std::thread::spawn(move || respond_after_delay(&stream, delay, &list));
        }
    });
    address
}

fn respond_after_delay(mut stream: &TcpStream, delay: Duration, list: &str) {
    let _call = Message::read(&mut BufReader::new(stream));
    std::thread::sleep(delay);
    let response = format!("{RESPONSE_HEAD}{:x}\r\n{list}\r\n", list.len());
    // Fails if the proxy has closed the connection.
    let _ = stream.write_all(response.as_bytes());
    std::thread::sleep(TIMEOUT);
}

/// Guards against calls that are all given up before their answer while discovery is overloaded. A call that is
/// given up loses its place in the queue of discovery.
#[test]
fn an_update_takes_effect_in_time_although_discovery_responds_slowly() {
    for mode in [DiscoveryMode::Automatic, DiscoveryMode::Subscribe] {
        for delay in [Duration::from_millis(1500), Duration::from_millis(3000)] {
            let draining = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
            let list = snapshot(2, &[endpoint("s-0", draining.address, EndpointState::Draining)]);
            let discovery = start_slow_discovery(delay, list);

            let start = Instant::now();
            let proxy =
                ProxyConfig::new(&[draining.address]).discovery(discovery).discovery_mode(mode).start();
            let mut client = proxy.connect();
            assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);

            wait_until("the idle connection to the upstream is closed", || {
                draining.closed_connections() == 1
            });
            let time = start.elapsed();
            assert!(time < NOTIFICATION_LIMIT, "{mode:?}, answers after {delay:?}: {time:?}");
        }
    }
}

/// Guards against a new process that waits for discovery forever, both when discovery is down and when it
/// ends each response after the head.
#[test]
fn a_new_process_uses_the_cached_list_when_discovery_sends_no_list() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    for discovery in [unused_address(), StubDiscovery::start().address] {
        let start = Instant::now();
        let proxy = ProxyConfig::new(&[upstream.address]).discovery(discovery).start();

        assert_eq!(proxy.connect().exchange(&idempotent_request(5000)).status(), 200);
        assert!(start.elapsed() < NOTIFICATION_LIMIT, "{:?}", start.elapsed());
    }
}

/// Accepts all calls to a listener, including those that are already queued, and responds to each with a
/// list. The connections stay open.
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

/// Guards against a proxy that has no socket left for a call to discovery, because idle clients took all
/// sockets while discovery was down. Once discovery has recovered, its list must take effect in time and new
/// clients must be served.
#[test]
fn idle_clients_that_hold_all_sockets_do_not_delay_an_update_after_a_discovery_outage() {
    for mode in [DiscoveryMode::Automatic, DiscoveryMode::Subscribe] {
        let removed = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        let added = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        // The operating system establishes connections, but no call gets a response before it is accepted.
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = ProxyConfig::new(&[removed.address])
            .discovery(discovery.local_addr().unwrap())
            .discovery_mode(mode)
            .sockets(64)
            .start();
        let mut idle_clients = Vec::new();
        let mut silent_clients = Vec::new();
        for _ in 0..40 {
            let mut client = proxy.connect();
            assert_eq!(client.exchange(&idempotent_request(8000)).status(), 200);
            idle_clients.push(client);
            silent_clients.push(proxy.connect());
        }
        wait_until("a call to discovery has failed", || {
            [log_text::CALL_FAILED, log_text::CALL_OVERDUE, log_text::CALL_TIMED_OUT]
                .iter()
                .any(|text| proxy.has_logged(text))
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
            silent_clients.push(proxy.connect());
            let response = proxy.connect().exchange(&idempotent_request(8000));
            response.status() == 200 && !added.requests().is_empty()
        });
        assert!(recovered_at.elapsed() < NOTIFICATION_LIMIT, "{:?}", recovered_at.elapsed());
    }
}
