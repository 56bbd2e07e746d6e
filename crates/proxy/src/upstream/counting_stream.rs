//! The TCP stream below an upstream connection: counts the bytes written and checks that an idle connection
//! is silent before a request is written to it.

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

/// A TCP stream that counts the bytes that the kernel has accepted, and holds `slot` until its descriptor is
/// closed.
pub struct CountingStream<S> {
    // Dropped before `_slot`: the slot must not be reused while the descriptor is still open.
    stream: TcpStream,
    bytes_written: Rc<Cell<u64>>,
    check_silence: Rc<Cell<bool>>,
    _slot: S,
}

impl<S> CountingStream<S> {
    /// Wraps a connected stream. `bytes_written` grows with each write. The first write after `check_silence`
    /// is set to `true` fails, without writing anything, unless the connection is open and has nothing to
    /// read.
    pub fn new(
        stream: TcpStream,
        bytes_written: Rc<Cell<u64>>,
        check_silence: Rc<Cell<bool>>,
        slot: S,
    ) -> Self {
        Self { stream, bytes_written, check_silence, _slot: slot }
    }

    /// Fails if a silence check is due and the peer has sent anything or closed the connection.
    ///
    /// Asks the kernel, because this process may not have polled the socket since. Bytes that followed an
    /// earlier response must not be taken for the response to the next request. A request written to a closed
    /// connection would end as a reset, after which an unsafe request cannot be retried.
    fn check_silence_if_due(&self) -> io::Result<()> {
        if !self.check_silence.replace(false) {
            return Ok(());
        }
        loop {
            return match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(e) if socket_io::is_interrupted(&e) => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
                Err(e) => Err(e),
                Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => {
                    Err(io::Error::new(io::ErrorKind::InvalidData, "unexpected bytes on an idle connection"))
                }
            };
        }
    }

    /// Adds the bytes of a completed write to the counter.
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
        self.check_silence_if_due()?;
        let poll = socket_io::poll_write(&self.stream, context, |stream| stream.try_write(buffer));
        self.count_written(poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_silence_if_due()?;
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
