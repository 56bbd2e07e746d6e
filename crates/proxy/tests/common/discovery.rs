//! A stand-in for the discovery service.

use super::{Message, TIMEOUT};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// The head of every response: the body is a stream of chunks.
pub const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A call of the proxy.
pub struct DiscoveryCall {
    /// The target of the request.
    pub target: String,
    /// The body of the response.
    pub watch: WatchStream,
}

/// The body of a response of discovery, to which a test writes. Dropping it closes the connection.
pub struct WatchStream {
    stream: TcpStream,
}

impl WatchStream {
    /// Sends a line as one chunk.
    pub fn send_line(&self, line: &str) {
        write!(&self.stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
    }

    /// Sends a text as one chunk.
    pub fn send_chunk(&self, text: &str) {
        self.try_send_chunk(text).unwrap();
    }

    /// Sends a text as one chunk, unless the proxy has closed the connection.
    pub fn try_send_chunk(&self, text: &str) -> io::Result<()> {
        write!(&self.stream, "{:x}\r\n{text}\r\n", text.len())
    }

    /// Sends bytes in chunks of at most this length, with one write. The proxy reads each chunk by itself.
    pub fn send_in_chunks(&self, bytes: &[u8], chunk_length: usize) {
        let mut message = Vec::new();
        for chunk in bytes.chunks(chunk_length) {
            write!(message, "{:x}\r\n", chunk.len()).unwrap();
            message.extend_from_slice(chunk);
            message.extend_from_slice(b"\r\n");
        }
        (&self.stream).write_all(&message).unwrap();
    }

    /// Ends the stream behind what was sent.
    pub fn end(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}

/// Discovery that accepts every call and leaves the body of the response to the test. Once it is dropped it
/// ends each response behind the head.
pub struct StubDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

impl StubDiscovery {
    /// Starts discovery; it accepts calls until the test process ends.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accept_call(stream, &sender);
            }
        });
        Self { address, calls }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(TIMEOUT).expect("a call of the proxy")
    }

    /// The next call, if it has come already.
    pub fn try_next_call(&self) -> Option<DiscoveryCall> {
        self.calls.try_recv().ok()
    }
}

fn accept_call(stream: TcpStream, calls: &Sender<DiscoveryCall>) {
    let Some(request) = Message::read(&mut BufReader::new(&stream)) else { return };
    (&stream).write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    let call = DiscoveryCall { target: request.target().to_owned(), watch: WatchStream { stream } };
    // Fails once the test takes no more calls.
    let _ = calls.send(call);
}
