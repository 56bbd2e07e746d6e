//! Requests that are malformed, incomplete or not allowed. The proxy answers them with a client error, does
//! not forward them, and keeps running.

mod common;

use common::*;

/// Size of the largest request head that the proxy accepts.
const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// Size of the largest request body that the proxy accepts.
const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// The `Content-Length` header and the body of a request whose body is `x`.
const LENGTH_AND_BODY: &str = "Content-Length: 1\r\n\r\nx";

/// Pairs of a part of a valid request and its replacement, each of which makes the request invalid.
const REPLACEMENTS: [(&str, &str); 28] = [
    ("/book/day", "/nothing"),
    ("/book/day", "/%ff%00"),
    ("POST", "DELETE"),
    ("POST", "GET"),
    ("acme", "nobody"),
    ("X-Account: acme\r\n", ""),
    ("X-Correlation-Id: 9b1f03aa\r\n", ""),
    ("9b1f03aa", ""),
    ("X-Time-Left-Ms: 5000\r\n", ""),
    (": 5000", ": soon"),
    (": 5000", ": -5"),
    (": 5000", ": 99999999999999999999"),
    ("Host", "X-Weight-Hint: heavy\r\nHost"),
    ("/book/day", "/keyed"),
    (LENGTH_AND_BODY, "Content-Length: 99999999\r\n\r\n"),
    ("Content-Length: 1", "Content-Length: one"),
    ("Content-Length: 1", "Content-Length: -1"),
    ("Content-Length: 1", "Content-Length: 1\r\nContent-Length: 2"),
    ("Content-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked"),
    ("Content-Length: 1", "Transfer-Encoding: chunked\r\nContent-Length: 1"),
    ("Content-Length: 1", "Transfer-Encoding: chunked\r\ncontent-LENGTH: 1"),
    (": 5000", ": +5000"),
    (": 5000", ": 5000\r\nX-Time-Left-Ms: 5000"),
    ("9b1f03aa", "9b1f03aa\r\nX-Correlation-Id: 9b1f03aa"),
    ("9b1f03aa", "9b\u{e9}03aa"),
    ("acme", "acme\r\nX-Account: acme"),
    ("Host: app.svc\r\n", ""),
    (" HTTP/1.1", ""),
];

/// Returns a valid request with its body replaced by `body` in one chunk.
fn chunked_request(valid_request: &str, body: &str) -> String {
    let chunked = format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    valid_request.replacen(LENGTH_AND_BODY, &chunked, 1)
}

#[test]
fn invalid_requests_get_a_client_error_and_are_not_forwarded() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let mut proxy = ProxyConfig::new(&[upstream.address]).start();
    let valid_request = at_most_once_request(5000, "x");

    for (from, to) in REPLACEMENTS {
        let invalid_request = valid_request.replacen(from, to, 1);
        assert_ne!(invalid_request, valid_request);
        let response = proxy.connect().exchange(&invalid_request);
        let is_client_error = (400..500).contains(&response.status()) && response.status() != 429;
        assert!(is_client_error, "{invalid_request:?}: {response:?}");
    }
    let too_long_body = "y".repeat(MAX_REQUEST_BODY_BYTES + 1);
    let response = proxy.connect().exchange(&chunked_request(&valid_request, &too_long_body));
    assert_eq!(response.status(), 413);
    proxy.connect().send("\u{1}\u{2} nonsense\r\n\r\n");
    assert!(upstream.requests().is_empty());

    // A chunked body without a `Content-Length` is valid.
    assert_eq!(proxy.connect().exchange(&chunked_request(&valid_request, "x")).status(), 200);
    let longest_body = &too_long_body[1..];
    assert_eq!(proxy.connect().exchange(&at_most_once_request(5000, longest_body)).status(), 200);
    assert!(proxy.is_running());
}

/// Guards against request smuggling: a recipient that uses the other of the two lengths would take the rest
/// of the body for a request. The chunks are valid, so that the second length is the only error.
#[test]
fn a_request_with_valid_chunks_and_a_content_length_is_rejected() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();
    let valid_request = chunked_request(&at_most_once_request(5000, "x"), "x");

    for length_headers in [
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 1",
        "Transfer-Encoding: chunked\r\ncontent-LENGTH: 1",
    ] {
        let request = valid_request.replacen("Transfer-Encoding: chunked", length_headers, 1);
        assert_eq!(proxy.connect().exchange(&request).status(), 400, "{length_headers:?}");
    }

    assert!(upstream.requests().is_empty());
    assert_eq!(proxy.connect().exchange(&valid_request).status(), 200);
}

/// Returns a request whose head has this length in bytes.
fn request_with_head_of(length: usize) -> String {
    let request = idempotent_request(5000);
    let padding = length - request.len() - "X-Padding: \r\n".len();
    let request = request.replacen("Host", &format!("X-Padding: {}\r\nHost", "y".repeat(padding)), 1);
    assert_eq!(request.len(), length);
    request
}

/// Sends a request in pieces of at most `piece_length` bytes and returns the status code of the response.
fn status_of(proxy: &ProxyProcess, request: &str, piece_length: usize) -> u16 {
    let client = proxy.connect();
    let mut writer = client.writer();
    for piece in request.as_bytes().chunks(piece_length) {
        // The proxy may close the connection before it has read the whole request.
        if std::io::Write::write_all(&mut writer, piece).is_err() {
            break;
        }
    }
    let mut client = client;
    client.response().expect("the proxy sends a response").status()
}

/// The limit is exact to the byte, regardless of the pieces in which a head arrives.
#[test]
fn a_request_head_over_the_limit_is_rejected_and_one_at_the_limit_is_served() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let proxy = ProxyConfig::new(&[upstream.address]).start();

    for piece_length in [usize::MAX, 8000, 1000] {
        for length in [MAX_REQUEST_HEAD_BYTES - 1, MAX_REQUEST_HEAD_BYTES] {
            let status = status_of(&proxy, &request_with_head_of(length), piece_length);
            assert_eq!(status, 200, "{length} bytes in pieces of {piece_length}");
        }
        for length in [MAX_REQUEST_HEAD_BYTES + 1, 40_000, 60_000] {
            let status = status_of(&proxy, &request_with_head_of(length), piece_length);
            assert_eq!(status, 431, "{length} bytes in pieces of {piece_length}");
        }
    }
}

/// The proxy also rejects a head that does not fit into the read buffer of a connection, without waiting for
/// its end.
#[test]
fn a_request_head_far_over_the_limit_is_rejected_while_it_arrives() {
    let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
    let mut proxy = ProxyConfig::new(&[upstream.address]).start();
    let mut client = proxy.connect();

    // The head is sent without its end, so that the proxy has read everything when it closes the connection.
    client.send(&request_with_head_of(4 * MAX_REQUEST_HEAD_BYTES)[..2 * MAX_REQUEST_HEAD_BYTES]);

    assert_eq!(client.response().expect("the proxy sends a response").status(), 431);
    assert!(upstream.requests().is_empty() && proxy.is_running());
}
