//! Requests and their responses on the way through the proxy: what passes unchanged, which requests are
//! retried, and the one final response that every client gets.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// A rejection that promises that the request was not executed.
const REJECTED_UNPROCESSED: &str = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
/// A response without that promise.
const UNAVAILABLE: &str = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
const INTERNAL_ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
/// A response whose body is shorter than its length.
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf";

/// Line, headers and body pass, the time left is reduced, and the connections on both sides are used again.
#[test]
fn requests_and_responses_pass_unchanged_on_reused_connections() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();

    for _ in 0..3 {
        let response = client.exchange(&at_most_once_request(5000, "a day"));
        assert_eq!((response.status(), &response.body[..]), (200, &b"done"[..]));
        assert_eq!(response.header("x-own"), Some("kept"));
    }

    let requests = upstream.requests();
    assert_eq!((requests.len(), upstream.accepted_connections()), (3, 1));
    assert_eq!(requests[0].start_line, "POST /book/day?n=1 HTTP/1.1");
    assert_eq!(requests[0].header("x-correlation-id"), Some("9b1f03aa"));
    assert_eq!(requests[0].body, b"a day");
    let time_left_ms: u64 = requests[0].header("x-time-left-ms").expect("a time left").parse().unwrap();
    assert!(time_left_ms > 0 && time_left_ms <= 5000, "{time_left_ms}");
}

/// A retry might execute the request a second time, and a rejection would tell the client that it is safe to
/// send it again.
#[test]
fn an_at_most_once_request_that_may_have_been_executed_fails_without_a_retry() {
    for behavior in [
        Behavior::Close,
        Behavior::Respond(UNAVAILABLE),
        Behavior::Respond(INTERNAL_ERROR),
        Behavior::RespondAndClose(TRUNCATED),
    ] {
        let upstreams = [StubUpstream::start(behavior), StubUpstream::start(behavior)];
        let proxy = ProxyConfig::new(&[upstreams[0].address, upstreams[1].address]).start();

        let response = proxy.connect().exchange(&at_most_once_request(5000, "x"));

        assert!(response.says_possibly_executed(), "{response:?}");
        assert_eq!(upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>(), 1);
    }
}

/// A rejection or a refused connection proves that the request was not executed.
#[test]
fn an_at_most_once_request_that_was_not_executed_is_retried_and_served() {
    let rejecting = StubUpstream::start(Behavior::Respond(REJECTED_UNPROCESSED));
    let serving = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[rejecting.address, unused_address(), serving.address]).start();
    let mut client = proxy.connect();

    for _ in 0..6 {
        assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);
    }

    assert_eq!(serving.requests().len(), 6);
}

/// The client should neither wait in vain nor send the request again at once.
#[test]
fn a_request_that_no_upstream_can_take_is_rejected_with_retry_after() {
    let proxy = ProxyConfig::new(&[unused_address()]).start();

    let response = proxy.connect().exchange(&at_most_once_request(5000, "x"));

    assert_eq!(response.status(), 503);
    let seconds: f64 = response.header("retry-after").expect("a time").parse().unwrap();
    assert!(seconds > 0.0 && seconds <= 1.0, "{seconds}");
}

/// A request on a connection that the upstream has closed would fail in a way that can't be told from one in
/// which it was executed.
#[test]
fn an_upstream_connection_that_was_closed_while_idle_is_not_reused() {
    let upstream = StubUpstream::start(Behavior::RespondAndClose(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();

    for request in 1..=4 {
        assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);
        wait_until("the upstream has closed", || upstream.closed_connections() == request);
    }

    assert_eq!((upstream.requests().len(), upstream.accepted_connections()), (4, 4));
}

/// Work for a client that has disconnected serves nobody: the attempt is cancelled and its connection closed.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();
    client.send(&at_most_once_request(8000, "x"));
    wait_until("the upstream has got the request", || upstream.requests().len() == 1);
    assert_eq!(upstream.closed_connections(), 0);

    let disconnected_at = Instant::now();
    drop(client);

    wait_until("the connection of the attempt is closed", || upstream.closed_connections() == 1);
    assert!(disconnected_at.elapsed().as_secs() < 5, "not only by the deadline");
}

#[test]
fn a_request_to_an_upstream_that_never_responds_fails_before_its_deadline() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let proxy = ProxyConfig::new(&[upstream.address]).start();

    let response = proxy.connect().exchange(&at_most_once_request(500, "x"));

    assert!(response.says_possibly_executed(), "{response:?}");
    wait_until("the connection of the attempt is closed", || upstream.closed_connections() == 1);
}

/// The time that a client waits counts from the last byte of its request.
#[test]
fn a_slow_request_body_does_not_reduce_the_time_left() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();
    let request = at_most_once_request(1000, "words");

    client.send(request.strip_suffix("words").expect("the body at the end"));
    std::thread::sleep(Duration::from_millis(1200));

    assert_eq!(client.exchange("words").status(), 200);
}

/// Responses are matched to requests by their id: a second request with the id of one in flight, sent by
/// mistake or not, is not forwarded, and the first is not affected.
#[test]
fn a_request_with_the_id_of_one_in_flight_is_refused_and_the_first_one_unaffected() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut first = proxy.connect();
    let mut second = proxy.connect();
    first.send(&at_most_once_request(3000, "x"));
    wait_until("the upstream has got the request", || upstream.requests().len() == 1);

    for _ in 0..2 {
        assert_eq!(second.exchange(&at_most_once_request(3000, "x")).status(), 409);
    }

    assert_eq!(first.response().expect("its own response").status(), 502);
    assert_eq!((upstream.requests().len(), upstream.accepted_connections()), (1, 1));
    // The id may be used again, whatever becomes of the next request.
    assert_ne!(proxy.connect().exchange(&at_most_once_request(1000, "x")).status(), 409);
}
