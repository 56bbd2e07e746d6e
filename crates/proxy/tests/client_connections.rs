//! Limits on clients' connections: clients that are idle, silent or slow must not keep others out.

mod common;

use common::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// A limit that a hundred clients exceed.
const FEW_SOCKETS: usize = 64;
/// How long the proxy keeps a connection open between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

#[test]
fn the_longest_idle_client_is_closed_when_sockets_run_out() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let mut proxy = ProxyConfig::new(&[upstream.address]).sockets(FEW_SOCKETS).start();

    let began_at = Instant::now();
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = proxy.connect();
        assert_eq!(client.exchange(&idempotent_request(5000)).status(), 200);
        clients.push(client);
    }

    assert!(began_at.elapsed() < IDLE_TIMEOUT, "no client had to wait for another one's timeout");
    assert!(clients[0].is_closed(), "the longest idle client was closed between requests");
    assert!(proxy.is_running());
}

/// A client has some seconds from its connect for its first complete request, however slowly it writes. A
/// time left that is longer than the deadline of its class does not extend that.
#[test]
fn clients_without_a_complete_request_are_closed_after_some_seconds() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let complete = at_most_once_request(3_000_000, &"x".repeat(9999));
    let incomplete = complete.replacen(&"x".repeat(9000), "", 1);
    let unknown_target = idempotent_request(5000).replace("/look", "/nothing");

    for text in ["", "POST /book HTTP/1.1\r\nHost: a", &incomplete, &unknown_target] {
        let mut client = proxy.connect();
        client.send(text);
        if let Some(response) = client.response() {
            assert!((400..500).contains(&response.status()), "{response:?}");
        }
        assert!(client.is_closed(), "{text:?}");
    }
    for text in ["POST /book HTTP/1.1\r\nHost: a\r\n", &incomplete] {
        let mut client = proxy.connect();
        client.send(text);
        write_until_closed(&client, text);
    }

    assert!(upstream.requests().is_empty());
}

/// Writes a byte now and then until the proxy closes the connection.
fn write_until_closed(client: &Client, sent: &str) {
    let mut writer = client.writer();
    let start = Instant::now();
    while writer.write_all(b"a").is_ok() {
        assert!(start.elapsed() < TIMEOUT, "waited in vain: the client that sent {sent:?} is closed");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Clients between two requests and new ones must get through where others connect by the hundred and send
/// nothing.
#[test]
fn silent_clients_are_closed_before_those_that_send_requests() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).sockets(FEW_SOCKETS).start();
    let mut active = proxy.connect();

    let mut silent = Vec::new();
    for _ in 0..100 {
        silent.push(proxy.connect());
        assert_eq!(active.exchange(&idempotent_request(8000)).status(), 200);
    }

    assert_eq!(proxy.connect().exchange(&idempotent_request(8000)).status(), 200);
    assert!(silent[0].is_closed());
}

#[test]
fn clients_that_never_complete_a_request_head_give_way_to_new_clients() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).sockets(FEW_SOCKETS).start();

    let mut incomplete = Vec::new();
    for _ in 0..40 {
        let mut client = proxy.connect();
        client.send("POST /book HTTP/1.1\r\nHost: a");
        incomplete.push(client);
    }

    assert_eq!(proxy.connect().exchange(&idempotent_request(8000)).status(), 200);
}
