//! The TCP stream of an outgoing connection. It counts the bytes written, and checks before each request
//! whether the connection is stale.

use crate::socket_io;
use socket2::SockRef;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that counts the bytes accepted by the kernel and checks on demand whether the connection is
/// stale. A connection is stale if the peer has closed it or has sent bytes that belong to no request.
///
/// It owns a slot of type `S`, which is dropped after the file descriptor is closed.
pub struct CountingStream<S> {
    // Declared before `_slot` so that it is dropped first. The slot must not be reused while the file
    // descriptor is still open.
    stream: TcpStream,
    /// The number of bytes accepted by the kernel since the connection was opened.
    bytes_written: Rc<Cell<u64>>,
    /// Whether the next write has to check first that the connection is not stale.
    stale_check_due: Rc<Cell<bool>>,
    _slot: S,
}

impl<S> CountingStream<S> {
    /// Wraps a connected stream. Each write adds its length to `bytes_written`. The first write after
    /// `stale_check_due` is set to `true` fails without writing anything if the peer has closed the
    /// connection or if there are bytes to read.
    pub fn new(
        stream: TcpStream,
        bytes_written: Rc<Cell<u64>>,
        stale_check_due: Rc<Cell<bool>>,
        slot: S,
    ) -> Self {
        Self { stream, bytes_written, stale_check_due, _slot: slot }
    }

    /// Fails if a stale check is due and the peer has sent bytes or closed the connection.
    ///
    /// Peeks at the socket, because the proxy may not have polled it since the peer did so. Bytes that follow
    /// an earlier response must not be taken for the response to the next request. A request written to a
    /// closed connection would end as a reset, after which a request that is not safe to repeat cannot be
    /// retried.
    fn run_stale_check_if_due(&self) -> io::Result<()> {
        if !self.stale_check_due.replace(false) {
            return Ok(());
        }
        loop {
            return match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(e) if socket_io::is_interrupted(&e) => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
                Err(e) => Err(e),
                Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "peer sent unexpected bytes on an idle connection",
                )),
            };
        }
    }

    /// Adds the length of a completed write to `bytes_written`.
    fn count_written(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(length)) = &poll {
            self.bytes_written.set(self.bytes_written.get() + *length as u64);
        }
        poll
    }
}

impl<S: Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        socket_io::poll_read(&self.stream, context, buffer).map_ok(|_| ())
    }
}

impl<S: Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &[u8]) -> Poll<io::Result<usize>> {
        self.run_stale_check_if_due()?;
        let poll = socket_io::poll_write(&self.stream, context, |stream| stream.try_write(buffer));
        self.count_written(poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.run_stale_check_if_due()?;
        let poll = socket_io::poll_write(&self.stream, context, |stream| stream.try_write_vectored(buffers));
        self.count_written(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
