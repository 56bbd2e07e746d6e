//! The byte stream of a client connection: what arrives is watched on its way to hyper.

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

/// How often the end of a connection is looked for while its bytes must not be read ahead. Short, because
/// attempts must stop within 0.1 s of a client's disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Reading ahead of a response stops once this much is buffered: as much as the longest request body.
const MAX_READ_AHEAD_BYTES: usize = MAX_REQUEST_BODY_BYTES;
/// Bytes read ahead in one call.
const READ_AHEAD_CHUNK_BYTES: usize = 4096;

/// A client's socket, the bytes read ahead from it and the count of its length headers.
pub struct ClientSocket {
    stream: TcpStream,
    client: Rc<Client>,
    content_lengths: RefCell<ContentLengthCounter>,
    /// What has arrived behind the current request and was not read by hyper yet.
    read_ahead: RefCell<BytesMut>,
}

impl ClientSocket {
    /// The socket of this client.
    pub fn new(stream: TcpStream, client: Rc<Client>) -> Self {
        Self {
            stream,
            client,
            content_lengths: RefCell::new(ContentLengthCounter::new()),
            read_ahead: RefCell::default(),
        }
    }

    /// Whether a head states its length in two ways. hyper shows `Transfer-Encoding` only. Has to be called
    /// once for each head.
    pub fn has_conflicting_lengths(&self, headers: &HeaderMap) -> bool {
        let visible = headers.get_all(CONTENT_LENGTH).iter().count();
        let has_hidden_length = self.content_lengths.borrow_mut().has_hidden_header(visible);
        has_hidden_length && headers.contains_key(TRANSFER_ENCODING)
    }

    /// Waits until a client has closed its connection before it got its response. hyper does not look for
    /// that while bytes follow the request, so they are read ahead here.
    pub async fn disconnected(&self) {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        loop {
            let Ok(ready) = self.stream.ready(Interest::READABLE).await else { return };
            let is_awaiting_response = self.client.state() == ClientState::AwaitingResponse;
            let has_capacity = self.read_ahead.borrow().len() < MAX_READ_AHEAD_BYTES;
            if is_awaiting_response && has_capacity {
                if self.read_ahead(&mut chunk) == StreamState::Closed {
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

    fn read_ahead(&self, chunk: &mut [u8]) -> StreamState {
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

    /// Watches the bytes that hyper is about to read.
    fn bytes_received(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.client.bytes_received();
        self.content_lengths.borrow_mut().scan(bytes);
    }
}

/// Whether more bytes may arrive.
#[derive(PartialEq, Eq)]
enum StreamState {
    Open,
    Closed,
}

/// A client's socket as hyper reads and writes it.
pub struct ClientStream(pub Rc<ClientSocket>);

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let mut read_ahead = socket.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let length = read_ahead.len().min(buf.remaining());
            let bytes = read_ahead.split_to(length);
            buf.put_slice(&bytes);
            socket.bytes_received(&bytes);
            return Poll::Ready(Ok(()));
        }
        let length = ready!(socket_io::poll_read(&socket.stream, cx, buf))?;
        let filled = buf.filled();
        socket.bytes_received(&filled[filled.len() - length..]);
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
