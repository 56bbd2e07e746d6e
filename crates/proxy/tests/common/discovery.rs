//! A stub of the discovery service.

use super::{Message, TIMEOUT};
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};

/// The head of each response of discovery. The body is sent with chunked transfer encoding.
pub const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A request of the proxy to discovery, and the response to it.
pub struct DiscoveryCall {
    /// The path and query of the request.
    pub target: String,
    /// The body of the response, which is still open.
    pub watch: WatchStream,
}

/// The body of a response of discovery, written by a test. Dropping it closes the connection.
pub struct WatchStream {
    stream: TcpStream,
}

impl WatchStream {
    /// Sends a line as one chunk, with a line feed at its end.
    pub fn send_line(&self, line: &str) {
        write!(&self.stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).unwrap();
    }

    /// Sends a text as one chunk. Panics if the proxy has closed the connection.
    pub fn send_chunk(&self, text: &str) {
        self.try_send_chunk(text).unwrap();
    }

    /// Sends a text as one chunk. Returns an error if the proxy has closed the connection.
    pub fn try_send_chunk(&self, text: &str) -> io::Result<()> {
        write!(&self.stream, "{:x}\r\n{text}\r\n", text.len())
    }

    /// Sends bytes in chunks of at most `chunk_length` bytes, all in one write. The proxy still reads the
    /// chunks one by one.
    pub fn send_in_chunks(&self, bytes: &[u8], chunk_length: usize) {
        let mut chunked = Vec::new();
        for chunk in bytes.chunks(chunk_length) {
            write!(chunked, "{:x}\r\n", chunk.len()).unwrap();
            chunked.extend_from_slice(chunk);
            chunked.extend_from_slice(b"\r\n");
        }
        (&self.stream).write_all(&chunked).unwrap();
    }

    /// Closes the sending side of the connection after the chunks that were sent.
    pub fn end(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }
}

/// A stub of discovery that sends the head of the response to each call and passes the call to the test,
/// which writes the body. After it is dropped, the stub closes the connection of each new call after the
/// head.
pub struct StubDiscovery {
    /// The address at which the stub listens.
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

impl StubDiscovery {
    /// Starts the stub. It accepts calls until the test process ends.
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

    /// Waits for the next call and returns it.
    pub fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(TIMEOUT).expect("the proxy calls discovery")
    }

    /// Returns the next call if one has already arrived.
    pub fn try_next_call(&self) -> Option<DiscoveryCall> {
        self.calls.try_recv().ok()
    }
}

fn accept_call(stream: TcpStream, calls: &Sender<DiscoveryCall>) {
    let Some(request) = Message::read(&mut BufReader::new(&stream)) else { return };
    (&stream).write_all(RESPONSE_HEAD.as_bytes()).unwrap();
    let call = DiscoveryCall { target: request.target().to_owned(), watch: WatchStream { stream } };
    // Fails after the test has dropped the stub; the connection is closed then.
    let _ = calls.send(call);
}
