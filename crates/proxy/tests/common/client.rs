//! A client of the proxy, and its requests.

use super::{Message, TIMEOUT};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a proxy.
    pub fn connect(address: SocketAddr) -> Self {
        Self::try_connect(address).unwrap()
    }

    /// Connects to a proxy, if it listens.
    pub fn try_connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a text, such as a request or a part of one.
    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The same connection, only for writing.
    pub fn writer(&self) -> TcpStream {
        self.reader.get_ref().try_clone().unwrap()
    }

    /// Reads the response; `None` if the connection ends instead.
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Sends a request and reads the response.
    pub fn exchange(&mut self, request: &str) -> Message {
        self.send(request);
        self.response().expect("a response")
    }

    /// Waits for the end of the connection. Returns whether nothing more came before it.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

/// Asks whether the proxy is ready.
pub const READINESS_CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";

/// A request of the class `book`, which must not be executed twice.
pub fn at_most_once_request(time_left_ms: u64, body: &str) -> String {
    format!(
        "POST /book/day?n=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f03aa\r\nX-Account: acme\r\n\
         Cookie: user=7f\r\nX-Time-Left-Ms: {time_left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request of the class `look`, which may be executed again.
pub fn idempotent_request(time_left_ms: u64) -> String {
    format!(
        "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 77aa\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\n\r\n"
    )
}
