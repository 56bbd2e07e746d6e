//! The length of a message head on the wire.

use hyper::Method;
use hyper::header::HeaderMap;

/// Returns the length, in bytes, of a request line with a target of `target_length` bytes, of the headers and
/// of the empty line after them. Counts a single space after the colon of each header, as hyper writes it: the
/// spacing of a received head is not kept.
pub fn head_length(method: &Method, target_length: usize, headers: &HeaderMap) -> usize {
    let request_line = method.as_str().len() + " ".len() + target_length + " HTTP/1.1\r\n".len();
    request_line + headers_length(headers) + "\r\n".len()
}

/// Returns the length, in bytes, of the header lines of a message.
pub fn headers_length(headers: &HeaderMap) -> usize {
    let lines =
        headers.iter().map(|(name, value)| name.as_str().len() + ": ".len() + value.len() + "\r\n".len());
    lines.sum()
}
