//! Stubs of upstreams.

use super::Message;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The reaction of an upstream to each request.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// The upstream sends this response and keeps the connection open.
    Respond(&'static str),
    /// The upstream sends a response with status 200 and a body of `body_bytes` bytes after `delay`, and keeps
    /// the connection open.
    RespondAfter {
        /// The time between the request and the response.
        delay: Duration,
        /// The length of the body.
        body_bytes: usize,
    },
    /// The upstream sends this response and closes the connection, without announcing that in a header.
    RespondAndClose(&'static str),
    /// The upstream closes the connection without a response.
    Close,
    /// The upstream keeps the connection open and never responds.
    NeverRespond,
}

/// A successful response.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Own: kept\r\n\r\ndone";

#[derive(Default)]
struct Record {
    requests: Mutex<Vec<Message>>,
    accepted_connections: AtomicUsize,
    closed_connections: AtomicUsize,
}

/// An upstream that handles every request in the same way and records its requests and connections.
pub struct StubUpstream {
    /// The address at which the upstream listens.
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl StubUpstream {
    /// Starts an upstream. It runs until the test process ends.
    pub fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let record: Arc<Record> = Arc::default();
        let upstream = Self { address, record: Arc::clone(&record) };
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                record.accepted_connections.fetch_add(1, Ordering::SeqCst);
                let record = Arc::clone(&record);
                std::thread::spawn(move || serve_connection(stream, behavior, &record));
            }
        });
        upstream
    }

    /// Returns the requests that have been received.
    pub fn requests(&self) -> Vec<Message> {
        self.record.requests.lock().unwrap().clone()
    }

    /// Returns how many connections have been accepted.
    pub fn accepted_connections(&self) -> usize {
        self.record.accepted_connections.load(Ordering::SeqCst)
    }

    /// Returns how many connections have been closed by either side.
    pub fn closed_connections(&self) -> usize {
        self.record.closed_connections.load(Ordering::SeqCst)
    }
}

fn serve_connection(stream: TcpStream, behavior: Behavior, record: &Record) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Message::read(&mut reader) {
        record.requests.lock().unwrap().push(request);
        if !handle_request(&stream, behavior) {
            break;
        }
    }
    // Fails if the proxy has already closed the connection.
    let _ = stream.shutdown(Shutdown::Both);
    record.closed_connections.fetch_add(1, Ordering::SeqCst);
}

/// Reacts to one request. Returns whether the connection stays open.
fn handle_request(mut stream: &TcpStream, behavior: Behavior) -> bool {
    match behavior {
        Behavior::Respond(response) => stream.write_all(response.as_bytes()).is_ok(),
        Behavior::RespondAfter { delay, body_bytes } => {
            std::thread::sleep(delay);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {body_bytes}\r\n\r\n");
            let response = head + &"a".repeat(body_bytes);
            stream.write_all(response.as_bytes()).is_ok()
        }
        Behavior::RespondAndClose(response) => {
            // The connection is closed even if the response cannot be sent.
            let _ = stream.write_all(response.as_bytes());
            false
        }
        Behavior::Close => false,
        Behavior::NeverRespond => true,
    }
}

/// Returns an address at which nothing listens. Its port stays bound, so that no other socket of these tests
/// gets it.
pub fn unused_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}
