//! The request of an attempt, and how much of it has been written.

use crate::headers::TIME_LEFT;
use crate::upstream::connection::{Connection, wire_length};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A request to be forwarded, the same for each of its attempts.
pub struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl OutgoingRequest {
    /// The HTTP request of one attempt, whose response the balancer will wait for `time_left`.
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

/// How much of a request the kernel has accepted. Stays current while the request is being sent.
pub(super) struct RequestProgress {
    connection_bytes_written: Rc<Cell<u64>>,
    written_before: u64,
    request_length: u64,
}

impl RequestProgress {
    /// Follows `request`, which must be the next one that is sent on `connection`.
    pub(super) fn new(connection: &Connection, request: &Request<Full<Bytes>>) -> Self {
        let connection_bytes_written = connection.bytes_written();
        let written_before = connection_bytes_written.get();
        Self { connection_bytes_written, written_before, request_length: wire_length(request) }
    }

    /// The number of bytes of the request that the kernel has accepted.
    pub(super) fn bytes_written(&self) -> u64 {
        self.connection_bytes_written.get() - self.written_before
    }

    /// The length of the whole request in bytes.
    pub(super) fn request_length(&self) -> u64 {
        self.request_length
    }

    /// Whether the kernel has accepted the whole request. Until then the upstream cannot have received all of
    /// it.
    pub(super) fn is_complete(&self) -> bool {
        self.bytes_written() >= self.request_length
    }
}
