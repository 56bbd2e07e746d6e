//! An HTTP/1.1 client connection that knows how many bytes of a request the kernel has accepted.

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

/// The read and write buffer of a connection, and with it the longest response head that is accepted.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// An open connection. Dropping it closes it, even while a request is in flight on it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    io_task: AbortHandle,
    bytes_written: Rc<Cell<u64>>,
    check_silence: Rc<Cell<bool>>,
    peer: SocketAddr,
}

impl Connection {
    /// Connects to `peer`. `slot` is dropped once the connection's descriptor is closed. Fails with the error
    /// of the connect call or of the socket option.
    pub async fn open<S: Unpin + 'static>(peer: SocketAddr, slot: S) -> io::Result<Self> {
        let stream = socket_io::connect(peer).await?;
        stream.set_nodelay(true)?;
        let bytes_written = Rc::new(Cell::new(0));
        let check_silence = Rc::new(Cell::new(false));
        let stream = CountingStream::new(stream, Rc::clone(&bytes_written), Rc::clone(&check_silence), slot);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let io_task = tokio::task::spawn_local(async move {
            // The error of a connection that ends is reported by its sender.
            let _ = connection.await;
        });
        let io_task = io_task.abort_handle();
        Ok(Self { sender, io_task, bytes_written, check_silence, peer })
    }

    /// The address that it is connected to.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether this process has already noticed that the connection ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection can take a request. Returns `false` if it ended instead.
    pub async fn is_usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// The number of bytes that the kernel has accepted since the connection was opened. The counter stays
    /// current while a request is being sent.
    pub fn bytes_written(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.bytes_written)
    }

    /// Sends a request and waits for the head of the response. Fails without writing anything if the peer has
    /// closed the connection or sent bytes that belong to no request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.check_silence.set(true);
        self.sender.send_request(request).await
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io_task.abort();
    }
}

/// The number of bytes that hyper writes for a request that states its own length: request line, headers and
/// body.
pub fn wire_length(request: &Request<Full<Bytes>>) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let request_line = request.method().as_str().len() + " ".len() + path + " HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + ": ".len() + value.len() + "\r\n".len())
        .sum();
    let head = request_line + headers + "\r\n".len();
    head as u64 + request.body().size_hint().exact().unwrap_or(0)
}
