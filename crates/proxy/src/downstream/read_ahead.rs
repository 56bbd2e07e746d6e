//! Keeps the bytes that follow a request on its connection and that hyper has not read yet.

#[cfg(test)]
mod tests;

use crate::downstream::request_body::MAX_REQUEST_BODY_BYTES;
use crate::memory_budget::{MemoryBudget, Reservation};
use crate::reserved_buffer::UNRESERVED_BYTES;
use bytes::{Bytes, BytesMut};

/// Maximum number of bytes that are kept. Equals the maximum length of a request body.
const MAX_KEPT_BYTES: usize = MAX_REQUEST_BODY_BYTES;

/// The bytes that follow a request and were read from the socket while the request awaited its response.
///
/// Clients send one request at a time. If a client nevertheless sends more than [`MAX_KEPT_BYTES`] behind a
/// request, or more than the budget can hold, all of these bytes are discarded, and so are those that follow
/// them.
pub struct ReadAhead {
    budget: MemoryBudget,
    state: State,
}

enum State {
    /// All bytes are kept.
    Kept(KeptBytes),
    /// Bytes were discarded, so that no further request can be read from the connection.
    Discarded,
}

#[derive(Default)]
struct KeptBytes {
    bytes: BytesMut,
    /// `None` as long as few bytes are kept.
    reservation: Option<Reservation>,
}

impl ReadAhead {
    /// Returns a read-ahead of no bytes. It reserves the memory for them in `budget`.
    pub fn new(budget: MemoryBudget) -> Self {
        Self { budget, state: State::Kept(KeptBytes::default()) }
    }

    /// Returns whether bytes were discarded.
    pub fn is_discarded(&self) -> bool {
        matches!(self.state, State::Discarded)
    }

    /// Adds the next bytes of the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        let State::Kept(kept) = &mut self.state else { return };
        let fits = kept.bytes.len() + bytes.len() <= MAX_KEPT_BYTES;
        if fits && kept.reserve(&self.budget, bytes.len()) {
            kept.bytes.extend_from_slice(bytes);
        } else {
            self.state = State::Discarded;
        }
    }

    /// Removes and returns the next bytes, at most `max_bytes` of them. Returns no bytes if none are kept.
    pub fn take(&mut self, max_bytes: usize) -> Bytes {
        let State::Kept(kept) = &mut self.state else { return Bytes::new() };
        let taken = kept.bytes.split_to(kept.bytes.len().min(max_bytes)).freeze();
        if kept.bytes.is_empty() {
            *kept = KeptBytes::default();
        }
        taken
    }
}

impl KeptBytes {
    /// Reserves memory for `added` more bytes. Returns `false` if the budget cannot hold them.
    fn reserve(&mut self, budget: &MemoryBudget, added: usize) -> bool {
        let needed = self.bytes.len() + added;
        let reserved = self.reservation.as_ref().map_or(0, Reservation::bytes);
        if needed <= UNRESERVED_BYTES || needed <= reserved {
            return true;
        }
        let Ok(added) = budget.try_reserve(needed - reserved) else { return false };
        added.add_to(&mut self.reservation);
        true
    }
}
