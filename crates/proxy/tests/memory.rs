//! The memory that clients can make the proxy use.

mod common;

use common::*;
use std::time::Duration;

/// The smallest memory limit that a deployment sets, in MiB.
const MEMORY_LIMIT_MB: u64 = 32;
const KIB_PER_MIB: u64 = 1024;
const SLOW_CLIENTS: usize = 60;
const PIECES: usize = 120;
const PIECE_BYTES: usize = 16;
/// The payload of a TCP segment on most networks.
const CHUNK_BYTES: usize = 1460;
/// Time between two pieces, in which the proxy reads the first one.
const PIECE_INTERVAL: Duration = Duration::from_millis(5);

/// The longest body that the platform allows.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The fewest sockets that a deployment allows.
const MIN_SOCKETS: usize = 256;
/// How many clients of a deployment with [`MIN_SOCKETS`] may send a request at the same time.
const REQUESTING_CLIENTS: usize = MIN_SOCKETS / 3;
/// With the requesting clients, as many as the proxy accepts at a time.
const STALLED_CLIENTS: usize = 43;
/// How many requests each client sends, one after the other.
const ROUNDS: usize = 3;
/// How long an upstream works on a request, so that all requests are in flight at the same time.
const UPSTREAM_DELAY: Duration = Duration::from_millis(400);

/// A request whose body is written in many pieces.
struct SlowRequest {
    head: String,
    pieces: Vec<String>,
}

impl SlowRequest {
    /// Returns a request whose body has a `Content-Length`.
    fn with_length(correlation_id: &str) -> Self {
        let piece = "x".repeat(PIECE_BYTES);
        let request = at_most_once_request(8000, &piece.repeat(PIECES));
        let request = request.replacen("9b1f03aa", correlation_id, 1);
        let (head, _) = request.split_once("\r\n\r\n").expect("a request has a head");
        Self { head: format!("{head}\r\n\r\n"), pieces: vec![piece; PIECES] }
    }

    /// Returns a request each piece of whose body is a chunk.
    fn chunked(correlation_id: &str) -> Self {
        let Self { head, pieces } = Self::with_length(correlation_id);
        let length_header = format!("Content-Length: {}", PIECES * PIECE_BYTES);
        let to_chunk = |piece: String| format!("{PIECE_BYTES:x}\r\n{piece}\r\n");
        let end = "0\r\n\r\n".to_owned();
        Self {
            head: head.replacen(&length_header, "Transfer-Encoding: chunked", 1),
            pieces: pieces.into_iter().map(to_chunk).chain([end]).collect(),
        }
    }
}

/// Guards against a process that is killed for its memory: each piece of an incomplete request body, however
/// short, kept a whole read buffer.
#[test]
fn request_bodies_in_many_pieces_leave_the_process_within_its_memory_limit() {
    for request in [SlowRequest::with_length, SlowRequest::chunked] {
        let upstream = StubUpstream::start(Behavior::Respond(OK_RESPONSE));
        let proxy = ProxyConfig::new(&[upstream.address]).memory_mb(MEMORY_LIMIT_MB).start();
        let requests: Vec<_> = (0..SLOW_CLIENTS).map(|number| request(&format!("{number:08x}"))).collect();
        let mut clients: Vec<_> = requests.iter().map(|_| proxy.connect()).collect();
        for (client, request) in clients.iter_mut().zip(&requests) {
            client.send(&request.head);
        }

        for index in 0..requests[0].pieces.len() {
            for (client, request) in clients.iter_mut().zip(&requests) {
                client.send(&request.pieces[index]);
            }
            std::thread::sleep(PIECE_INTERVAL);
        }
        for client in &mut clients {
            assert_eq!(client.response().expect("the proxy sends a response").status(), 200);
        }

        let peak_kib = proxy.peak_memory_kib();
        assert!(peak_kib < MEMORY_LIMIT_MB * KIB_PER_MIB, "{peak_kib} KiB");
    }
}

/// Guards against a process that is killed for its memory: the read buffer of each connection grew to 64 KiB,
/// beside the bodies that it held.
#[test]
fn clients_that_stop_in_a_large_request_leave_the_process_within_its_memory_limit() {
    let behavior = Behavior::RespondAfter { delay: UPSTREAM_DELAY, body_bytes: MAX_BODY_BYTES };
    let upstream = StubUpstream::start(behavior);
    let config = ProxyConfig::new(&[upstream.address]).sockets(MIN_SOCKETS);
    let proxy = config.memory_mb(MEMORY_LIMIT_MB).start();
    let mut stalled_clients: Vec<_> = (0..STALLED_CLIENTS).map(|_| proxy.connect()).collect();
    let mut requesting_clients: Vec<_> = (0..REQUESTING_CLIENTS).map(|_| proxy.connect()).collect();

    for (number, client) in stalled_clients.iter_mut().enumerate() {
        client.send(&unfinished_request(&format!("{number:08x}")));
    }
    for round in 0..ROUNDS {
        for (number, client) in requesting_clients.iter_mut().enumerate() {
            let request = at_most_once_request(8000, &"x".repeat(MAX_BODY_BYTES));
            client.send(&request.replacen("9b1f03aa", &format!("a{round}{number:06x}"), 1));
        }
        for client in &mut requesting_clients {
            let response = client.response().expect("the proxy sends a response");
            assert_eq!(response.status(), 200);
            assert_eq!(response.body.len(), MAX_BODY_BYTES);
        }
    }
    for client in &mut stalled_clients {
        assert_eq!(client.response().expect("the proxy sends a response").status(), 408);
    }

    let peak_kib = proxy.peak_memory_kib();
    assert!(peak_kib < MEMORY_LIMIT_MB * KIB_PER_MIB, "{peak_kib} KiB");
}

/// Returns a chunked request of nearly the longest body, without its last chunk.
fn unfinished_request(correlation_id: &str) -> String {
    let request = at_most_once_request(8000, "").replacen("9b1f03aa", correlation_id, 1);
    let head = request.replacen("Content-Length: 0", "Transfer-Encoding: chunked", 1);
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "c".repeat(CHUNK_BYTES));
    head + &chunk.repeat(MAX_BODY_BYTES / CHUNK_BYTES)
}
