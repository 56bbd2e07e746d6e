//! Keeps the bytes that follow a request on its connection and that hyper has not read yet.

#[cfg(test)]
mod tests;

use crate::downstream::request::MAX_REQUEST_BODY_BYTES;
use bytes::{Bytes, BytesMut};

/// Maximum number of bytes that are kept. Equals the maximum length of a request body.
const MAX_KEPT_BYTES: usize = MAX_REQUEST_BODY_BYTES;

/// The bytes that follow a request and were read from the socket while the request awaited its response.
///
/// Clients send one request at a time. If a client nevertheless sends more than [`MAX_KEPT_BYTES`] behind a
/// request, all of these bytes are discarded, and so are those that follow them.
pub enum ReadAhead {
    /// All bytes are kept.
    Kept(BytesMut),
    /// Bytes were discarded, so that no further request can be read from the connection.
    Discarded,
}

impl ReadAhead {
    /// Returns a read-ahead of no bytes.
    pub fn new() -> Self {
        Self::Kept(BytesMut::new())
    }

    /// Returns whether bytes were discarded.
    pub fn is_discarded(&self) -> bool {
        matches!(self, Self::Discarded)
    }

    /// Adds the next bytes of the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        match self {
            Self::Kept(kept) if kept.len() + bytes.len() <= MAX_KEPT_BYTES => kept.extend_from_slice(bytes),
            Self::Kept(_) | Self::Discarded => *self = Self::Discarded,
        }
    }

    /// Removes and returns the next bytes, at most `max_bytes` of them. Returns no bytes if none are kept.
    pub fn take(&mut self, max_bytes: usize) -> Bytes {
        match self {
            Self::Kept(kept) => kept.split_to(kept.len().min(max_bytes)).freeze(),
            Self::Discarded => Bytes::new(),
        }
    }
}
