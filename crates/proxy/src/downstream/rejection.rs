//! Rejects a request whose head is not read to its end because the budget for requests is exhausted.

use crate::socket_io;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// The response. The request was not forwarded, so the client can safely send it again.
const RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 13\r\nconnection: close\r\n\r\nout of memory";
/// How long the connection stays open after the response, so that the client can read it. The kernel would
/// discard the response if it closed a connection with unread bytes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that one call discards. The buffer for them is initialized for each connection.
const DISCARD_CHUNK_BYTES: usize = 4096;

/// Sends the response, and discards what the client sends until it closes the connection or
/// [`LINGER_TIMEOUT`] has passed. No response may be under way on the connection.
pub async fn reject_unread(stream: &TcpStream) {
    // If the client has gone or its buffers are full, nobody reads the response.
    let _ = stream.try_write(RESPONSE);
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    let _ = timeout(LINGER_TIMEOUT, discard_until_closed(stream)).await;
}

async fn discard_until_closed(stream: &TcpStream) -> io::Result<()> {
    // On the heap, because an array would be a part of the task of each connection.
    let mut chunk = vec![0; DISCARD_CHUNK_BYTES];
    loop {
        stream.readable().await?;
        match stream.try_read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(_) => yield_now().await,
            Err(error) if socket_io::is_retryable(&error) => {}
            Err(error) => return Err(error),
        }
    }
}
