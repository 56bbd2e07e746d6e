//! Reserves memory for the read buffer of a client connection while a long request head arrives.

#[cfg(test)]
mod tests;

use crate::compact_head::SMALL_HEAD_BYTES;
use crate::memory_budget::{BudgetExhausted, MemoryBudget, Reservation};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The memory that is reserved for the read buffer of a connection whose head is not small. The buffer grows
/// to 64 KiB, of which every connection has 8 KiB without a reservation.
const LONG_HEAD_BUFFER_BYTES: usize = 56 * 1024;

type ReservationFuture = Pin<Box<dyn Future<Output = Result<Reservation, BudgetExhausted>>>>;

/// Counts the bytes of a request head as they arrive. The buffer that holds them never shrinks, so its memory
/// stays reserved until the connection has ended.
pub struct HeadMemory {
    budget: MemoryBudget,
    received_bytes: usize,
    state: State,
}

enum State {
    Unreserved,
    Waiting(ReservationFuture),
    Reserved { _reservation: Reservation },
}

impl HeadMemory {
    /// Returns the memory of a new connection, which has reserved nothing in `budget`.
    pub fn new(budget: MemoryBudget) -> Self {
        Self { budget, received_bytes: 0, state: State::Unreserved }
    }

    /// Records that bytes of a head have arrived.
    pub fn on_bytes_received(&mut self, length: usize) {
        self.received_bytes += length;
    }

    /// Records that the head is complete. Returns whether the read buffer of the connection has grown.
    pub fn on_head_received(&mut self) -> bool {
        self.received_bytes = 0;
        matches!(self.state, State::Reserved { .. })
    }

    /// Waits until more bytes of the head may be read. Fails if there is no memory for them.
    pub fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BudgetExhausted>> {
        if self.received_bytes < SMALL_HEAD_BYTES {
            return Poll::Ready(Ok(()));
        }
        if matches!(self.state, State::Unreserved) {
            let budget = self.budget.clone();
            self.state =
                State::Waiting(Box::pin(async move { budget.reserve(LONG_HEAD_BUFFER_BYTES).await }));
        }
        let State::Waiting(reservation) = &mut self.state else { return Poll::Ready(Ok(())) };
        let result = ready!(reservation.as_mut().poll(context));
        // The future must not be polled again, whether it has succeeded or not.
        self.state = State::Unreserved;
        self.state = State::Reserved { _reservation: result? };
        Poll::Ready(Ok(()))
    }
}
