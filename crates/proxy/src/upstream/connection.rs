//! An outgoing HTTP/1.1 connection, to an upstream or to discovery, that counts the bytes accepted by the
//! kernel.

use crate::head_length::head_length;
use crate::socket_io;
use crate::upstream::counting_stream::CountingStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;

#[cfg(test)]
mod tests;

/// Maximum size of the read and write buffers of a connection. It also limits the length of a response head.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// An open connection. Dropping it closes the connection, even while a request is in flight on it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    io_task: AbortHandle,
    bytes_written: Rc<Cell<u64>>,
    stale_check_due: Rc<Cell<bool>>,
    peer: SocketAddr,
}

impl Connection {
    /// Connects to `peer`. The connection holds `slot` until its file descriptor is closed. Fails with the
    /// error of the connect call or of the call that sets `TCP_NODELAY`.
    pub async fn open<S: Unpin + 'static>(peer: SocketAddr, slot: S) -> io::Result<Self> {
        let stream = socket_io::connect(peer).await?;
        stream.set_nodelay(true)?;
        let bytes_written = Rc::new(Cell::new(0));
        let stale_check_due = Rc::new(Cell::new(false));
        let stream =
            CountingStream::new(stream, Rc::clone(&bytes_written), Rc::clone(&stale_check_due), slot);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let io_task = tokio::task::spawn_local(async move {
            // `sender` reports the error of a connection that ends.
            let _ = connection.await;
        });
        let io_task = io_task.abort_handle();
        Ok(Self { sender, io_task, bytes_written, stale_check_due, peer })
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the proxy has already noticed the end of the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can take a request or has ended. Returns `false` if it has ended.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns the counter of the bytes that the kernel has accepted since the connection was opened. It is
    /// updated while a request is being sent.
    pub fn bytes_written(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.bytes_written)
    }

    /// Sends a request and waits for the head of the response. Fails without writing anything if the peer has
    /// closed the connection or has sent bytes that belong to no request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.stale_check_due.set(true);
        self.sender.send_request(request).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io_task.abort();
    }
}

/// Returns the number of bytes that hyper writes for the request line, headers and body of a request. The
/// number is exact only if the request sets its own `Content-Length` or needs none, so that hyper adds none.
pub fn wire_length(request: &Request<Full<Bytes>>) -> u64 {
    let target_length = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let head_length = head_length(request.method(), target_length, request.headers());
    head_length as u64 + request.body().size_hint().exact().unwrap_or(0)
}
