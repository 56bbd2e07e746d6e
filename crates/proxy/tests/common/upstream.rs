//! Stand-ins for upstreams.

use super::Message;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// What an upstream does with each request.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Sends this response and keeps the connection open.
    Respond(&'static str),
    /// Sends this response and closes the connection, without a header that says so.
    RespondAndClose(&'static str),
    /// Closes the connection.
    Close,
    /// Keeps the connection open and never responds.
    NeverRespond,
}

/// A response by which an upstream has served a request.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Own: kept\r\n\r\ndone";

#[derive(Default)]
struct Record {
    requests: Mutex<Vec<Message>>,
    accepted_connections: AtomicUsize,
    closed_connections: AtomicUsize,
}

/// An upstream that does the same with every request, and records what it got.
pub struct StubUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl StubUpstream {
    /// Starts an upstream; it runs until the test process ends.
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

    /// The requests it has got.
    pub fn requests(&self) -> Vec<Message> {
        self.record.requests.lock().unwrap().clone()
    }

    /// How many connections it has accepted.
    pub fn accepted_connections(&self) -> usize {
        self.record.accepted_connections.load(Ordering::SeqCst)
    }

    /// How many connections have been closed, by either side.
    pub fn closed_connections(&self) -> usize {
        self.record.closed_connections.load(Ordering::SeqCst)
    }
}

fn serve_connection(stream: TcpStream, behavior: Behavior, record: &Record) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Message::read(&mut reader) {
        record.requests.lock().unwrap().push(request);
        if !keeps_connection(&stream, behavior) {
            break;
        }
    }
    // Fails where the proxy has closed the connection before.
    let _ = stream.shutdown(Shutdown::Both);
    record.closed_connections.fetch_add(1, Ordering::SeqCst);
}

/// Responds to one request. Returns whether the connection stays open.
fn keeps_connection(mut stream: &TcpStream, behavior: Behavior) -> bool {
    match behavior {
        Behavior::Respond(response) => stream.write_all(response.as_bytes()).is_ok(),
        Behavior::RespondAndClose(response) => {
            // The connection is closed either way.
            let _ = stream.write_all(response.as_bytes());
            false
        }
        Behavior::Close => false,
        Behavior::NeverRespond => true,
    }
}

/// An address where nothing listens. Its port stays taken, so that no other stand-in of these tests gets it.
pub fn unused_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}
