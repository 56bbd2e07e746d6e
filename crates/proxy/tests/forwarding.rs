//! Forwarding of requests and responses: what the proxy passes on unchanged, which requests it retries, and
//! that each client gets one final response.

mod common;

use common::*;
use std::time::{Duration, Instant};

/// A response that states, by the header `X-Unprocessed`, that the request was rejected and not executed.
const REJECTED_UNPROCESSED: &str = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
/// A response with status 503 but without `X-Unprocessed`. The request may have been executed.
const UNAVAILABLE: &str = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
const INTERNAL_ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
/// A response whose body is shorter than its `Content-Length`.
const TRUNCATED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf";

/// The proxy forwards the request line, headers and body, reduces the time left, and reuses the connections
/// on both sides.
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
    let time_left_ms: u64 =
        requests[0].header("x-time-left-ms").expect("the forwarded request has a time left").parse().unwrap();
    assert!(time_left_ms > 0 && time_left_ms <= 5000, "{time_left_ms}");
}

/// Guards against a second execution: by a retry of the proxy, or by the client after a rejection that tells
/// it that sending the request again is safe.
#[test]
fn an_at_most_once_request_that_may_have_been_executed_fails_without_a_retry() {
    for behavior in [
        Behavior::Close,
        Behavior::Respond(UNAVAILABLE),
        Behavior::Respond(INTERNAL_ERROR),
        Behavior::RespondAndClose(TRUNCATED_RESPONSE),
    ] {
        let upstreams = [StubUpstream::start(behavior), StubUpstream::start(behavior)];
        let proxy = ProxyConfig::new(&[upstreams[0].address, upstreams[1].address]).start();

        let response = proxy.connect().exchange(&at_most_once_request(5000, "x"));

        assert!(response.reports_possible_execution(), "{response:?}");
        assert_eq!(upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>(), 1);
    }
}

/// A response with `X-Unprocessed` or a refused connection proves that the request was not executed.
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

/// The client should neither wait until its deadline nor send the request again immediately.
#[test]
fn a_request_is_rejected_with_retry_after_when_no_upstream_is_reachable() {
    let proxy = ProxyConfig::new(&[unused_address()]).start();

    let response = proxy.connect().exchange(&at_most_once_request(5000, "x"));

    assert_eq!(response.status(), 503);
    let retry_after_seconds: f64 =
        response.header("retry-after").expect("the rejection has a Retry-After header").parse().unwrap();
    assert!(retry_after_seconds > 0.0 && retry_after_seconds <= 1.0, "{retry_after_seconds}");
}

/// Guards against a request on a connection that the upstream has closed. The failure of such a request
/// cannot be distinguished from a failure after the request was executed.
#[test]
fn an_upstream_connection_that_was_closed_while_idle_is_not_reused() {
    let upstream = StubUpstream::start(Behavior::RespondAndClose(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();

    for request in 1..=4 {
        assert_eq!(client.exchange(&at_most_once_request(5000, "x")).status(), 200);
        wait_until("the upstream has closed the connection", || upstream.closed_connections() == request);
    }

    assert_eq!((upstream.requests().len(), upstream.accepted_connections()), (4, 4));
}

/// The result of an attempt is of no use after its client has disconnected, so the proxy cancels the attempt
/// and closes its connection.
#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();
    client.send(&at_most_once_request(8000, "x"));
    wait_until("the upstream has received the request", || upstream.requests().len() == 1);
    assert_eq!(upstream.closed_connections(), 0);

    let disconnected_at = Instant::now();
    drop(client);

    wait_until("the connection of the attempt is closed", || upstream.closed_connections() == 1);
    assert!(disconnected_at.elapsed().as_secs() < 5, "the attempt was cancelled only at its deadline");
}

#[test]
fn a_request_to_an_upstream_that_never_responds_fails_and_its_upstream_connection_is_closed() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let proxy = ProxyConfig::new(&[upstream.address]).start();

    let response = proxy.connect().exchange(&at_most_once_request(500, "x"));

    assert!(response.reports_possible_execution(), "{response:?}");
    wait_until("the connection of the attempt is closed", || upstream.closed_connections() == 1);
}

/// The time left counts from the last byte of the request.
#[test]
fn a_slow_request_body_does_not_reduce_the_time_left() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();
    let request = at_most_once_request(1000, "words");

    client.send(request.strip_suffix("words").expect("the request ends with its body"));
    std::thread::sleep(Duration::from_millis(1200));

    assert_eq!(client.exchange("words").status(), 200);
}

/// The proxy matches responses to requests by the correlation id. Guards against a second request with the id
/// of a request in flight: it must not be forwarded and must not affect the first request.
#[test]
fn a_request_with_the_id_of_a_request_in_flight_is_rejected_without_affecting_the_first() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut first_client = proxy.connect();
    let mut second_client = proxy.connect();
    first_client.send(&at_most_once_request(3000, "x"));
    wait_until("the upstream has received the request", || upstream.requests().len() == 1);

    for _ in 0..2 {
        assert_eq!(second_client.exchange(&at_most_once_request(3000, "x")).status(), 409);
    }

    assert_eq!(first_client.response().expect("the first request gets its own response").status(), 502);
    assert_eq!((upstream.requests().len(), upstream.accepted_connections()), (1, 1));
    // The id may be used again after the first request has ended. The response may have any status but 409.
    assert_ne!(proxy.connect().exchange(&at_most_once_request(1000, "x")).status(), 409);
}

/// Guards against a request that is executed twice: the id of a request was free again as soon as its client had
/// left, while an upstream was executing it or had executed it.
#[test]
fn a_request_is_not_forwarded_again_under_its_id_after_its_client_has_left() {
    let upstream = StubUpstream::start(Behavior::NeverRespond);
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let request = at_most_once_request(500, "x");
    let mut first_client = proxy.connect();
    first_client.send(&request);
    wait_until("the upstream has the request", || upstream.requests().len() == 1);
    drop(first_client);

    let during_the_attempt = proxy.connect().exchange(&request);
    wait_until("the attempt has ended", || upstream.closed_connections() == 1);
    let after_the_attempt = proxy.connect().exchange(&request);

    assert_eq!(during_the_attempt.status(), 409);
    assert_eq!(after_the_attempt.status(), 409);
    assert_eq!(upstream.requests().len(), 1);
}
