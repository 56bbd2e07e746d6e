//! Reads response bodies and limits the memory that large ones take.

use crate::upstream::exchange::ExchangeError;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[cfg(test)]
mod tests;

/// The longest response body that is accepted. Some upstreams send bodies of several hundred KiB.
pub const MAX_RESPONSE_BODY_BYTES: usize = 1024 * 1024;
/// The longest response body that needs no reservation in the budget for large bodies.
pub const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;

/// A limit on the bytes of all large response bodies together. A body counts from the moment its length is
/// known to be large until the last reference to it is dropped.
#[derive(Clone)]
pub struct LargeBodyBudget {
    /// Atomic only because `Bytes` requires an owner that is `Send`. All users run on one thread.
    available_bytes: Arc<AtomicUsize>,
}

impl LargeBodyBudget {
    /// A budget of `bytes`, all of it available.
    pub fn new(bytes: usize) -> Self {
        Self { available_bytes: Arc::new(AtomicUsize::new(bytes)) }
    }

    /// Reserves bytes until the reservation is dropped. Returns `None` if fewer are available.
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

/// Bytes of a [`LargeBodyBudget`], released when dropped.
pub struct Reservation {
    budget: LargeBodyBudget,
    bytes: usize,
}

impl Reservation {
    /// Releases what exceeds `bytes`.
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

/// A large body that holds its reservation as long as it is referenced.
struct ReservedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Reads a response body to its end. Fails if it is longer than [`MAX_RESPONSE_BODY_BYTES`], if the budget
/// does not allow for its length, or if the connection ends or sends malformed framing.
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
        // A body without a stated length may grow to the maximum, which is reserved before it is received.
        if reservation.is_none() && received.len() + data.len() > MAX_SMALL_BODY_BYTES {
            reservation = Some(reserve(budget, MAX_RESPONSE_BODY_BYTES)?);
        }
        received.extend_from_slice(&data);
    }
    Ok(with_reservation(received.freeze(), reservation))
}

fn reserve(budget: &LargeBodyBudget, bytes: usize) -> Result<Reservation, ExchangeError> {
    budget.reserve(bytes).ok_or(ExchangeError::BodyBudgetExhausted { bytes })
}

/// Attaches a reservation to a complete body and releases what the body does not need.
fn with_reservation(body: Bytes, reservation: Option<Reservation>) -> Bytes {
    let Some(mut reservation) = reservation else { return body };
    reservation.shrink_to(body.len());
    Bytes::from_owner(ReservedBody { body, _reservation: reservation })
}
