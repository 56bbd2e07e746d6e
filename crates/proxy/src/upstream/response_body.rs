//! Reads response bodies and limits the memory that large ones use.

use crate::upstream::exchange::ExchangeError;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[cfg(test)]
mod tests;

/// Maximum length of a response body. Some upstreams send bodies of several hundred KiB.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;
/// Maximum length of a response body that is read without a reservation in the budget for large bodies.
pub const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;

/// A limit on the total size of all large response bodies in memory. A body counts against the budget from
/// the time at which it is known to be longer than [`MAX_SMALL_BODY_BYTES`] until the last reference to it is
/// dropped.
#[derive(Clone)]
pub struct LargeBodyBudget {
    /// Atomic only because `Bytes` requires an owner that is `Send`. All accesses are on a single thread.
    available_bytes: Arc<AtomicUsize>,
}

impl LargeBodyBudget {
    /// Creates a budget of which all `bytes` are available.
    pub fn new(bytes: usize) -> Self {
        Self { available_bytes: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Reserves `bytes` until the reservation is dropped. Returns `None` if fewer are available.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let available = self.available_bytes.load(Ordering::Relaxed);
        let remaining = available.checked_sub(bytes)?;
        self.available_bytes.store(remaining, Ordering::Relaxed);
        Some(Reservation { budget: self.clone(), bytes })
    }

    fn release(&self, bytes: usize) {
        self.available_bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A number of bytes reserved in a [`LargeBodyBudget`]. Dropping the reservation releases them.
pub struct Reservation {
    budget: LargeBodyBudget,
    bytes: usize,
}

impl Reservation {
    /// Reduces the reservation to `bytes` if it is larger, and releases the difference.
    fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.budget.release(excess);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

/// The owner of the memory of a large body. It holds the reservation as long as the body is referenced.
struct ReservedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Reads a response body to its end. Fails if the body is longer than [`MAX_RESPONSE_BODY_BYTES`], if the
/// budget has too few bytes left for it, if the connection is lost, or if the framing of the body is
/// malformed.
pub async fn read_body(body: Incoming, budget: &LargeBodyBudget) -> Result<Bytes, ExchangeError> {
    let stated_length = body.size_hint().lower();
    if stated_length > MAX_RESPONSE_BODY_BYTES as u64 {
        return Err(ExchangeError::BodyTooLong { length: stated_length });
    }
    let stated_length = stated_length as usize;
    let mut reservation = None;
    if stated_length > MAX_SMALL_BODY_BYTES {
        reservation = Some(reserve(budget, stated_length)?);
    }
    let mut body = Limited::new(body, MAX_RESPONSE_BODY_BYTES);
    let mut received = BytesMut::with_capacity(stated_length);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(ExchangeError::from_body_error)?;
        let Ok(data) = frame.into_data() else { continue };
        // A body without a stated length may grow to the maximum length, which is therefore reserved before
        // the rest of the body is received.
        if reservation.is_none() && received.len() + data.len() > MAX_SMALL_BODY_BYTES {
            reservation = Some(reserve(budget, MAX_RESPONSE_BODY_BYTES)?);
        }
        received.extend_from_slice(&data);
    }
    Ok(attach_reservation(received.freeze(), reservation))
}

fn reserve(budget: &LargeBodyBudget, bytes: usize) -> Result<Reservation, ExchangeError> {
    budget.reserve(bytes).ok_or(ExchangeError::BodyBudgetExhausted { bytes })
}

/// Attaches a reservation to a complete body and releases the bytes that the body does not need.
fn attach_reservation(body: Bytes, reservation: Option<Reservation>) -> Bytes {
    let Some(mut reservation) = reservation else { return body };
    reservation.shrink_to(body.len());
    Bytes::from_owner(ReservedBody { body, _reservation: reservation })
}
