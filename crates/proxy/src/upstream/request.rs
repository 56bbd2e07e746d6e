//! The request of an attempt, and the progress of writing it.

use crate::headers::TIME_LEFT;
use crate::upstream::connection::{Connection, wire_length};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A request to forward. All attempts of the request share it.
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: Method,
    /// The request target: path and query.
    pub target: Uri,
    /// The end-to-end headers. Each attempt replaces `X-Time-Left-Ms`, and sets `Content-Length` unless the
    /// request is a GET without a body.
    pub headers: HeaderMap,
    /// The complete body. Empty if the request has none.
    pub body: Bytes,
}

impl OutgoingRequest {
    /// Returns the HTTP request of an attempt that waits for the response for at most `time_left`.
    pub(super) fn to_http(&self, time_left: Duration) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        headers.insert(TIME_LEFT, HeaderValue::from(time_left.as_millis() as u64));
        if self.method != Method::GET || !self.body.is_empty() {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Tracks how many bytes of a request the kernel has accepted while the request is being sent.
pub(super) struct RequestProgress {
    /// The number of bytes written on the connection since it was opened.
    connection_bytes_written: Rc<Cell<u64>>,
    /// The number of bytes written on the connection before the request.
    bytes_written_before: u64,
    /// The number of bytes of the whole request on the wire.
    request_length: u64,
}

impl RequestProgress {
    /// Starts to track `request`, which must be the next request sent on `connection`.
    pub(super) fn new(connection: &Connection, request: &Request<Full<Bytes>>) -> Self {
        let connection_bytes_written = connection.bytes_written();
        let bytes_written_before = connection_bytes_written.get();
        Self { connection_bytes_written, bytes_written_before, request_length: wire_length(request) }
    }

    /// Returns the number of bytes of the request that the kernel has accepted.
    pub(super) fn bytes_written(&self) -> u64 {
        self.connection_bytes_written.get() - self.bytes_written_before
    }

    /// Returns the length of the whole request on the wire, in bytes.
    pub(super) fn request_length(&self) -> u64 {
        self.request_length
    }

    /// Returns whether the kernel has accepted the whole request. Until then, the upstream cannot have
    /// received all of it.
    pub(super) fn is_complete(&self) -> bool {
        self.bytes_written() >= self.request_length
    }
}
