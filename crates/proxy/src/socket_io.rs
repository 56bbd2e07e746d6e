//! Reads and writes on a stream that make no more of a result than the system says.
//!
//! A call that was interrupted is made again. A read or write of fewer bytes than asked for is no sign that
//! there are no more, or that no more are taken: the stream counts as ready until the system says otherwise.

use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Whether a call has to be made again, at once or when the stream is ready.
fn again(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Connects to a peer.
pub async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(peer).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => yield_now().await,
            connected => return connected,
        }
    }
}

/// Reads once something has come; the number of bytes, 0 at the end of the stream.
pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(length) => {
                buffer.advance(length);
                return Poll::Ready(Ok(length));
            }
            Err(e) if again(&e) => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Writes once the system takes something; the number of bytes that it has taken.
pub fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(e) if again(&e) => {}
            written => return Poll::Ready(written),
        }
    }
}
