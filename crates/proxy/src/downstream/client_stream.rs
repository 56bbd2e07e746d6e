//! The byte stream of a client connection. Received bytes are inspected before they are passed to hyper.

use crate::downstream::client::{Client, ClientState};
use crate::downstream::content_length::ContentLengthCounter;
use crate::downstream::head_memory::HeadMemory;
use crate::downstream::read_ahead::ReadAhead;
use crate::memory_budget::{BudgetExhausted, MemoryBudget};
use crate::socket_io::{self, MAX_READ_BYTES};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;

/// Interval at which a connection is checked for a disconnect while no bytes are read ahead from it. It is
/// short because attempts must stop within 0.1 s of a client's disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of bytes that one call reads. The buffer for them is initialized for each request.
const READ_AHEAD_CHUNK_BYTES: usize = 4096;
/// Maximum number of bytes that are read ahead before other tasks get a turn.
const READ_AHEAD_BYTES_PER_TURN: usize = 1024 * 1024;
/// Maximum number of turns in which bytes are read ahead before a request is submitted. Together they exceed
/// the 4 MiB that the socket of a client that has gone may hold unsent, with the default limits of Linux.
const MAX_TURNS_BEFORE_SUBMISSION: usize = 8;

/// A client's socket, with the bytes that were read ahead from it and the count of its `Content-Length`
/// headers.
pub struct ClientSocket {
    stream: TcpStream,
    client: Rc<Client>,
    content_lengths: RefCell<ContentLengthCounter>,
    read_ahead: RefCell<ReadAhead>,
    head_memory: RefCell<HeadMemory>,
    has_unread_head: Cell<bool>,
}

impl ClientSocket {
    /// Returns the socket of the connection `client`. The memory of requests is reserved in `budget`.
    pub fn new(stream: TcpStream, client: Rc<Client>, budget: &MemoryBudget) -> Self {
        Self {
            stream,
            client,
            content_lengths: RefCell::new(ContentLengthCounter::new()),
            read_ahead: RefCell::new(ReadAhead::new(budget.clone())),
            head_memory: RefCell::new(HeadMemory::new(budget.clone())),
            has_unread_head: Cell::new(false),
        }
    }

    /// Returns the underlying stream.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns whether the connection ended because there was no memory for the rest of a head, and no response
    /// is under way.
    pub fn has_unread_head(&self) -> bool {
        self.has_unread_head.get() && !self.client.is_write_blocked()
    }

    /// Records that the head of a request is complete. Returns whether it was so long that the read buffer of
    /// the connection has grown.
    pub fn on_head_received(&self) -> bool {
        self.head_memory.borrow_mut().on_head_received()
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
    /// disconnect if unread bytes follow the request, and neither does the kernel, so all bytes are read
    /// ahead here.
    pub async fn disconnected(&self) {
        loop {
            if self.stream.readable().await.is_err() {
                return;
            }
            if !self.is_reading_ahead() {
                // hyper reads the bytes itself.
                sleep(DISCONNECT_CHECK_INTERVAL).await;
                continue;
            }
            match self.read_ahead() {
                ReadAheadEnd::Disconnected => return,
                ReadAheadEnd::NoMoreBytes => {}
                ReadAheadEnd::TurnOver => yield_now().await,
            }
        }
    }

    /// Reads ahead the bytes that have arrived behind a request. Has to be called before the request is
    /// submitted, because its client may have gone while the connection waited to be served, and no attempt
    /// must start then. If the client has gone, this method does not return, and [`Self::disconnected`] does.
    pub async fn read_ahead_before_submission(&self) {
        for _ in 0..MAX_TURNS_BEFORE_SUBMISSION {
            match self.read_ahead() {
                ReadAheadEnd::Disconnected => pending().await,
                ReadAheadEnd::NoMoreBytes => return,
                ReadAheadEnd::TurnOver => yield_now().await,
            }
        }
    }

    /// Returns whether hyper leaves the received bytes to [`Self::disconnected`].
    fn is_reading_ahead(&self) -> bool {
        self.client.state() == ClientState::AwaitingResponse || self.read_ahead.borrow().is_discarded()
    }

    /// Reads received bytes ahead, at most [`READ_AHEAD_BYTES_PER_TURN`]. If bytes had to be discarded, the
    /// connection is closed after the response.
    fn read_ahead(&self) -> ReadAheadEnd {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        let mut read_ahead = self.read_ahead.borrow_mut();
        for _ in 0..READ_AHEAD_BYTES_PER_TURN / READ_AHEAD_CHUNK_BYTES {
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return ReadAheadEnd::Disconnected,
                Ok(length) => {
                    let was_discarded = read_ahead.is_discarded();
                    read_ahead.push(&chunk[..length]);
                    if read_ahead.is_discarded() && !was_discarded {
                        self.client.evict();
                    }
                }
                Err(error) if socket_io::is_interrupted(&error) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadAheadEnd::NoMoreBytes,
                Err(_) => return ReadAheadEnd::Disconnected,
            }
        }
        ReadAheadEnd::TurnOver
    }

    /// Waits until there is memory for more bytes of a head, if one is being received. Fails if there is none.
    fn poll_head_memory(&self, cx: &mut Context<'_>) -> Poll<Result<(), BudgetExhausted>> {
        if !self.client.is_receiving_head() {
            return Poll::Ready(Ok(()));
        }
        let poll = self.head_memory.borrow_mut().poll_ready(cx);
        self.client.set_waiting_for_memory(poll.is_pending());
        self.has_unread_head.set(matches!(poll, Poll::Ready(Err(_))));
        poll
    }

    /// Records the arrival of bytes that are passed to hyper, and counts `Content-Length` headers in them.
    fn on_bytes_received(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.client.is_receiving_head() {
            self.head_memory.borrow_mut().on_bytes_received(bytes.len());
        }
        self.client.on_bytes_received();
        self.content_lengths.borrow_mut().scan(bytes);
    }
}

/// Why [`ClientSocket::read_ahead`] ended.
enum ReadAheadEnd {
    /// The client has closed the connection, or the connection has failed.
    Disconnected,
    /// All bytes that have arrived are read.
    NoMoreBytes,
    /// More bytes may have arrived, but other tasks have to get a turn.
    TurnOver,
}

/// The stream through which hyper reads from and writes to a client's socket.
pub struct ClientStream(pub Rc<ClientSocket>);

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        ready!(socket.poll_head_memory(cx)).map_err(io::Error::other)?;
        let max_bytes = buf.remaining().min(MAX_READ_BYTES);
        let bytes = socket.read_ahead.borrow_mut().take(max_bytes);
        if !bytes.is_empty() {
            buf.put_slice(&bytes);
            socket.on_bytes_received(&bytes);
            return Poll::Ready(Ok(()));
        }
        if socket.read_ahead.borrow().is_discarded() {
            // Ends only with the connection, which is closed after the response.
            return Poll::Pending;
        }
        let length = ready!(socket_io::poll_read(&socket.stream, cx, buf))?;
        let filled = buf.filled();
        socket.on_bytes_received(&filled[filled.len() - length..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = socket_io::poll_write(&self.0.stream, cx, |stream| stream.try_write(buf));
        self.0.client.on_write(poll.is_pending());
        poll
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = socket_io::poll_write(&self.0.stream, cx, |stream| stream.try_write_vectored(bufs));
        self.0.client.on_write(poll.is_pending());
        poll
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
