//! Socket operations that handle interrupted calls and partial reads and writes.
//!
//! An interrupted call is repeated. A partial read or write does not clear the stream's readiness: the stream
//! counts as ready until the kernel reports `WouldBlock`.

use bytes::BufMut;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Maximum number of bytes that one read passes to hyper. hyper doubles the read buffer of a connection, from
/// 8 KiB up to the maximum size of its buffers, whenever a read returns as much as it asked for. A read that
/// returns less leaves the buffer as it is.
pub const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Returns whether a call failed because a signal interrupted it, so that it has to be repeated at once.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Returns whether a failed call has to be repeated, either at once or when the stream is ready again.
pub fn is_retryable(error: &io::Error) -> bool {
    is_interrupted(error) || error.kind() == io::ErrorKind::WouldBlock
}

/// Connects to a peer and repeats interrupted calls. Fails with any other error of the connect call.
pub async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(peer).await {
            Err(e) if is_interrupted(&e) => yield_now().await,
            connected => return connected,
        }
    }
}

/// Reads at most [`MAX_READ_BYTES`] available bytes into `buffer` and returns their number, which is 0 at the
/// end of the stream. Fails if the connection has broken.
pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(&mut BufMut::limit(&mut *buffer, MAX_READ_BYTES)) {
            Err(e) if is_retryable(&e) => {}
            read => return Poll::Ready(read),
        }
    }
}

/// Calls `write` once the stream is writable and returns the number of bytes that the kernel accepted. Fails
/// if the connection has broken.
pub fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(e) if is_retryable(&e) => {}
            written => return Poll::Ready(written),
        }
    }
}
