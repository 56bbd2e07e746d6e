//! The byte stream of a client connection. Received bytes are inspected before they are passed to hyper.

use crate::downstream::client::{Client, ClientState};
use crate::downstream::content_length::ContentLengthCounter;
use crate::downstream::request::MAX_REQUEST_BODY_BYTES;
use crate::socket_io;
use bytes::BytesMut;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Interval at which a connection is checked for a disconnect while no bytes are read ahead from it. It is
/// short because attempts must stop within 0.1 s of a client's disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// No more bytes are read ahead once this many are buffered. Equals the maximum length of a request body.
const MAX_READ_AHEAD_BYTES: usize = MAX_REQUEST_BODY_BYTES;
/// Maximum number of bytes that one read adds to the read-ahead buffer.
const READ_AHEAD_CHUNK_BYTES: usize = 4096;

/// A client's socket, with the bytes that were read ahead from it and the count of its `Content-Length`
/// headers.
pub struct ClientSocket {
    stream: TcpStream,
    client: Rc<Client>,
    content_lengths: RefCell<ContentLengthCounter>,
    /// Bytes after the current request that were read from the socket and that hyper has not read yet.
    read_ahead: RefCell<BytesMut>,
}

impl ClientSocket {
    /// Returns the socket of the connection `client`.
    pub fn new(stream: TcpStream, client: Rc<Client>) -> Self {
        Self {
            stream,
            client,
            content_lengths: RefCell::new(ContentLengthCounter::new()),
            read_ahead: RefCell::default(),
        }
    }

    /// Returns whether a head was received with both `Content-Length` and `Transfer-Encoding`. `headers` are
    /// the headers of the head as hyper passes them on, which omits `Content-Length` in this case. Has to be
    /// called once for each head.
    pub fn has_conflicting_lengths(&self, headers: &HeaderMap) -> bool {
        let visible_headers = headers.get_all(CONTENT_LENGTH).iter().count();
        let has_hidden_length = self.content_lengths.borrow_mut().has_hidden_header(visible_headers);
        has_hidden_length && headers.contains_key(TRANSFER_ENCODING)
    }

    /// Waits until the client disconnects while a request awaits its response. hyper does not notice a
    /// disconnect if unread bytes follow the request, so they are read ahead here.
    pub async fn disconnected(&self) {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        loop {
            let Ok(ready) = self.stream.ready(Interest::READABLE).await else { return };
            let is_awaiting_response = self.client.state() == ClientState::AwaitingResponse;
            let has_capacity = self.read_ahead.borrow().len() < MAX_READ_AHEAD_BYTES;
            if is_awaiting_response && has_capacity {
                if self.try_read_ahead(&mut chunk) == StreamState::Closed {
                    return;
                }
            } else if is_awaiting_response && ready.is_read_closed() {
                return;
            } else {
                // Either hyper reads the bytes itself, or the read-ahead buffer is full.
                sleep(DISCONNECT_CHECK_INTERVAL).await;
            }
        }
    }

    /// Moves received bytes to the read-ahead buffer, at most as many as `chunk` holds. Returns whether the
    /// client may send more.
    fn try_read_ahead(&self, chunk: &mut [u8]) -> StreamState {
        match self.stream.try_read(chunk) {
            Ok(0) => StreamState::Closed,
            Ok(length) => {
                self.read_ahead.borrow_mut().extend_from_slice(&chunk[..length]);
                StreamState::Open
            }
            Err(error) if socket_io::is_retryable(&error) => StreamState::Open,
            Err(_) => StreamState::Closed,
        }
    }

    /// Records the arrival of bytes that are passed to hyper, and counts `Content-Length` headers in them.
    fn on_bytes_received(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.client.on_bytes_received();
        self.content_lengths.borrow_mut().scan(bytes);
    }
}

/// Whether more bytes may arrive on a connection.
#[derive(PartialEq, Eq)]
enum StreamState {
    Open,
    Closed,
}

/// The stream through which hyper reads from and writes to a client's socket.
pub struct ClientStream(pub Rc<ClientSocket>);

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let mut read_ahead = socket.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let length = read_ahead.len().min(buf.remaining());
            let bytes = read_ahead.split_to(length);
            buf.put_slice(&bytes);
            socket.on_bytes_received(&bytes);
            return Poll::Ready(Ok(()));
        }
        let length = ready!(socket_io::poll_read(&socket.stream, cx, buf))?;
        let filled = buf.filled();
        socket.on_bytes_received(&filled[filled.len() - length..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        socket_io::poll_write(&self.0.stream, cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        socket_io::poll_write(&self.0.stream, cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
