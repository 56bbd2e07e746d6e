//! Copies heads out of the buffers that they were read into, and estimates the memory that they occupy.
//!
//! hyper returns header values and the request target as slices of the connection's read buffer. As long as
//! one of them is referenced, the whole buffer stays allocated, and hyper reads into another one.

use crate::head_length::headers_length;
use bytes::{Bytes, BytesMut};
use hyper::Uri;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;

#[cfg(test)]
mod tests;

/// Maximum length of the headers of a head that fits into the initial buffers of a connection, which hyper never shrinks.
pub const SMALL_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers in a small head. hyper keeps the allocation of a header map for the next message.
const SMALL_HEAD_HEADERS: usize = 32;
/// Memory that one header occupies in the maps of a request and of its attempt, apart from its value.
const BYTES_PER_HEADER: usize = 400;
/// The number of copies of a head: in the request, in the buffer of the connection to the upstream, and spare
/// room in that buffer, which grows by doubling.
const HEAD_COPIES: usize = 3;

/// Returns whether the buffers of a connection keep their initial size when they carry a head with these
/// headers.
pub fn is_small(headers: &HeaderMap) -> bool {
    headers_length(headers) <= SMALL_HEAD_BYTES && headers.len() <= SMALL_HEAD_HEADERS
}

/// Returns an estimate of the memory, in bytes, that a request head of `length` bytes occupies until the
/// request has its final response.
pub fn estimated_bytes(length: usize, headers: &HeaderMap) -> usize {
    headers.len() * BYTES_PER_HEADER + length * HEAD_COPIES
}

/// Returns a copy of the headers that shares no memory with them. A value that is not accepted a second time
/// is shared.
pub fn copy_headers(headers: &HeaderMap) -> HeaderMap {
    let mut storage = BytesMut::with_capacity(headers.values().map(HeaderValue::len).sum());
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        storage.extend_from_slice(value.as_bytes());
        let value_copy = HeaderValue::from_maybe_shared(storage.split().freeze());
        copy.append(name, value_copy.unwrap_or_else(|_| value.clone()));
    }
    copy
}

/// Returns a copy of the path and query of a URI that shares no memory with it. A path and query that is not
/// accepted a second time is shared.
pub fn copy_target(uri: &Uri) -> Uri {
    let Some(target) = uri.path_and_query() else { return Uri::default() };
    let copy = Bytes::copy_from_slice(target.as_str().as_bytes());
    PathAndQuery::from_maybe_shared(copy).unwrap_or_else(|_| target.clone()).into()
}
