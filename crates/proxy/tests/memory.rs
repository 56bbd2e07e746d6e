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
/// Time between two pieces, in which the proxy reads the first one.
const PIECE_INTERVAL: Duration = Duration::from_millis(5);

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
