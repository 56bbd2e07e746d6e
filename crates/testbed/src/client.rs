//! A client that sends one request after another to a process of the balancer.

use crate::message::Message;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before the next connection after one has failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
const STATUS_OK: u16 = 200;

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseCounts {
    /// Responses with status 200.
    pub served: usize,
    /// Responses with another status: rejected or failed.
    pub not_served: usize,
    /// Requests without a complete response.
    pub unanswered: usize,
}

impl ResponseCounts {
    /// Adds the counts of another client.
    pub fn add(&mut self, other: Self) {
        self.served += other.served;
        self.not_served += other.not_served;
        self.unanswered += other.unanswered;
    }
}

/// A running client.
pub struct Client {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<ResponseCounts>,
}

impl Client {
    /// Starts a client. The ids of its requests begin with `name`, and it pauses after each.
    pub fn start(address: SocketAddr, name: String, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sender = RequestSender {
            address,
            name,
            pause,
            stop: Arc::clone(&stop),
            last_request: 0,
            counts: ResponseCounts::default(),
        };
        let thread = thread::spawn(move || sender.run());
        Self { stop, thread }
    }

    /// Stops the client after its current request and returns its counts.
    pub fn stop(self) -> ResponseCounts {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// The client's thread.
struct RequestSender {
    address: SocketAddr,
    name: String,
    pause: Duration,
    stop: Arc<AtomicBool>,
    /// The number of the latest request.
    last_request: u64,
    counts: ResponseCounts,
}

impl RequestSender {
    /// Sends requests, on a new connection whenever one has ended, until the client is stopped.
    fn run(mut self) -> ResponseCounts {
        while !self.is_stopped() {
            // A connection ends when the balancer is killed.
            if self.use_connection().is_err() {
                thread::sleep(RECONNECT_PAUSE);
            }
        }
        self.counts
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends requests on one connection until it ends or the client is stopped.
    fn use_connection(&mut self) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while !self.is_stopped() {
            let request = self.next_request();
            stream.write_all(request.as_bytes())?;
            let status = read_response(&mut reader);
            self.count(&status);
            status?;
            thread::sleep(self.pause);
        }
        Ok(())
    }

    fn next_request(&mut self) -> String {
        self.last_request += 1;
        format!(
            "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {}-{}\r\n\
             X-Account: acme\r\nX-Time-Left-Ms: 3000\r\n\r\n",
            self.name, self.last_request
        )
    }

    fn count(&mut self, status: &io::Result<u16>) {
        match status {
            Ok(STATUS_OK) => self.counts.served += 1,
            Ok(_) => self.counts.not_served += 1,
            Err(_) => self.counts.unanswered += 1,
        }
    }
}

/// Reads a response with its body and returns its status.
fn read_response(reader: &mut impl BufRead) -> io::Result<u16> {
    let response = Message::read(reader)?;
    let status = response.as_ref().and_then(Message::status);
    status.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
