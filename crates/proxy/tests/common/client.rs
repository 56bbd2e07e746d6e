//! A client of the proxy and the requests that it sends.

use super::{Message, TIMEOUT};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection of a client to the proxy.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a proxy. Panics if the connection cannot be established.
    pub fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).unwrap()
    }

    /// Connects to a proxy. Returns an error if nothing listens at the address.
    pub fn try_connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a complete request or a part of one.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends a complete request or a part of one. Returns `false` if the proxy has closed the connection.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Returns a second handle to the connection, for writing.
    pub fn writer(&self) -> TcpStream {
        self.reader.get_ref().try_clone().unwrap()
    }

    /// Reads the next response. Returns `None` if the connection ends before the response is complete, or if
    /// a read fails or takes longer than [`TIMEOUT`].
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Sends a request, or the rest of one, and returns the response.
    pub fn exchange(&mut self, request: &str) -> Message {
        self.send(request);
        self.response().expect("the proxy sends a response")
    }

    /// Waits until the proxy closes the connection. Returns false if it sends more data first, or if a read
    /// fails or takes longer than [`TIMEOUT`].
    pub fn closes_without_more_data(&mut self) -> bool {
        let mut received = Vec::new();
        self.reader.read_to_end(&mut received).is_ok() && received.is_empty()
    }
}

/// A request for the readiness of the proxy.
pub const READINESS_CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";

/// Returns a request of the class `book`, which must be executed at most once.
pub fn at_most_once_request(time_left_ms: u64, body: &str) -> String {
    format!(
        "POST /book/day?n=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f03aa\r\nX-Account: acme\r\n\
         Cookie: user=7f\r\nX-Time-Left-Ms: {time_left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a request of the class `look`, which may be executed more than once.
pub fn idempotent_request(time_left_ms: u64) -> String {
    format!(
        "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 77aa\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\n\r\n"
    )
}
