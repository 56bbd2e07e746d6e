//! Limits on the connections of clients. Clients that are idle, send nothing or send slowly must not prevent
//! other clients from being served.

mod common;

use common::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// A socket limit that 100 clients exceed.
const FEW_SOCKETS: usize = 64;
/// How long the proxy keeps a connection of a client open between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

#[test]
fn the_longest_idle_connection_is_closed_when_sockets_run_out() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let mut proxy = ProxyConfig::new(&[upstream.address]).sockets(FEW_SOCKETS).start();

    let started_at = Instant::now();
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = proxy.connect();
        assert_eq!(client.exchange(&idempotent_request(5000)).status(), 200);
        clients.push(client);
    }

    assert!(started_at.elapsed() < IDLE_TIMEOUT, "a client had to wait for the idle timeout of another one");
    assert!(
        clients[0].closes_without_more_data(),
        "the longest idle connection should be closed without a response"
    );
    assert!(proxy.is_running());
}

/// A client has to complete its first valid request within a few seconds of connecting, even if it keeps
/// sending bytes. A time left in the request head that is longer than the deadline of the class must not
/// extend this period.
#[test]
fn clients_that_complete_no_valid_request_are_closed_within_seconds() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let complete_request = at_most_once_request(3_000_000, &"x".repeat(9999));
    let incomplete_request = complete_request.replacen(&"x".repeat(9000), "", 1);
    let unknown_target = idempotent_request(5000).replace("/look", "/nothing");

    for sent in ["", "POST /book HTTP/1.1\r\nHost: a", &incomplete_request, &unknown_target] {
        let mut client = proxy.connect();
        client.send(sent);
        if let Some(response) = client.response() {
            assert!((400..500).contains(&response.status()), "{response:?}");
        }
        assert!(client.closes_without_more_data(), "{sent:?}");
    }
    for sent in ["POST /book HTTP/1.1\r\nHost: a\r\n", &incomplete_request] {
        let mut client = proxy.connect();
        client.send(sent);
        write_until_closed(&client, sent);
    }

    assert!(upstream.requests().is_empty());
}

/// Sends a byte every 50 ms until the proxy closes the connection. `sent` is the text that the client sent
/// before.
fn write_until_closed(client: &Client, sent: &str) {
    let mut writer = client.writer();
    let start = Instant::now();
    while writer.write_all(b"a").is_ok() {
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out waiting until the proxy closes the client that sent {sent:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against the loss of service for active and new clients while a hundred other clients connect and
/// send nothing.
#[test]
fn silent_clients_are_closed_before_clients_that_send_requests() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).sockets(FEW_SOCKETS).start();
    let mut active_client = proxy.connect();

    let mut silent_clients = Vec::new();
    for _ in 0..100 {
        silent_clients.push(proxy.connect());
        assert_eq!(active_client.exchange(&idempotent_request(8000)).status(), 200);
    }

    assert_eq!(proxy.connect().exchange(&idempotent_request(8000)).status(), 200);
    assert!(silent_clients[0].closes_without_more_data());
}

#[test]
fn a_new_client_is_served_although_clients_with_incomplete_request_heads_hold_sockets() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).sockets(FEW_SOCKETS).start();

    let mut incomplete_clients = Vec::new();
    for _ in 0..40 {
        let mut client = proxy.connect();
        client.send("POST /book HTTP/1.1\r\nHost: a");
        incomplete_clients.push(client);
    }

    assert_eq!(proxy.connect().exchange(&idempotent_request(8000)).status(), 200);
}
