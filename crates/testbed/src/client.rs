//! A client that sends requests one after another to a balancer process.

use crate::message::Message;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long a client waits for data of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a new connection is opened after the previous one has failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);
const STATUS_OK: u16 = 200;

/// Numbers of requests, by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseCounts {
    /// Requests that got a response with status 200.
    pub served: usize,
    /// Requests that got a response with another status, because they were rejected or failed.
    pub not_served: usize,
    /// Requests that were sent but got no complete response.
    pub unanswered: usize,
}

impl ResponseCounts {
    /// Adds the counts of another client to these counts.
    pub fn add(&mut self, other: Self) {
        self.served += other.served;
        self.not_served += other.not_served;
        self.unanswered += other.unanswered;
    }
}

/// A client that runs in its own thread.
pub struct Client {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<ResponseCounts>,
}

impl Client {
    /// Starts a client that sends requests to `address` and waits for `pause` after each response. The
    /// correlation ids of its requests are `name`, a hyphen and a number that counts up from 1.
    pub fn start(address: SocketAddr, name: String, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sender = RequestSender {
            address,
            name,
            pause,
            stop: Arc::clone(&stop),
            last_request_number: 0,
            counts: ResponseCounts::default(),
        };
        let thread = thread::spawn(move || sender.run());
        Self { stop, thread }
    }

    /// Stops the client after its current request and returns the counts of all its requests.
    pub fn stop(self) -> ResponseCounts {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

/// The state of the thread of a client.
struct RequestSender {
    address: SocketAddr,
    name: String,
    pause: Duration,
    stop: Arc<AtomicBool>,
    /// Number of the latest request; 0 before the first.
    last_request_number: u64,
    counts: ResponseCounts,
}

impl RequestSender {
    /// Sends requests until the client is stopped, and opens a new connection whenever one has ended.
    fn run(mut self) -> ResponseCounts {
        while !self.is_stopped() {
            // Connections end with an error when the balancer is killed.
            if self.send_on_connection().is_err() {
                thread::sleep(RECONNECT_PAUSE);
            }
        }
        self.counts
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Opens a connection and sends requests on it until it ends or the client is stopped.
    fn send_on_connection(&mut self) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while !self.is_stopped() {
            let request = self.next_request();
            stream.write_all(request.as_bytes())?;
            let status = read_response(&mut reader);
            self.count_response(&status);
            status?;
            thread::sleep(self.pause);
        }
        Ok(())
    }

    fn next_request(&mut self) -> String {
        self.last_request_number += 1;
        format!(
            "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {}-{}\r\n\
             X-Account: acme\r\nX-Time-Left-Ms: 3000\r\n\r\n",
            self.name, self.last_request_number
        )
    }

    fn count_response(&mut self, status: &io::Result<u16>) {
        match status {
            Ok(STATUS_OK) => self.counts.served += 1,
            Ok(_) => self.counts.not_served += 1,
            Err(_) => self.counts.unanswered += 1,
        }
    }
}

/// Reads a response with its body and returns the status code.
fn read_response(reader: &mut impl BufRead) -> io::Result<u16> {
    let response = Message::read(reader)?;
    let status = response.as_ref().and_then(Message::status);
    status.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
