//! A buffer whose memory is reserved in a budget.

use crate::memory_budget::{BudgetExhausted, MemoryBudget, RESERVATION_TIMEOUT, Reservation};
use bytes::Bytes;
use hyper::body::Body;
use memmap2::MmapMut;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Maximum size of a buffer without a reservation.
pub const UNRESERVED_BYTES: usize = 2 * 1024;
/// The capacities that a buffer of unknown length has one after the other, before its maximum. They are few
/// because buffers that have reserved a part each may wait for each other.
const CAPACITY_STEPS: [usize; 3] = [UNRESERVED_BYTES, MAX_HEAP_BYTES, 64 * 1024];
/// Maximum capacity of a buffer on the heap.
const MAX_HEAP_BYTES: usize = 8 * 1024;

/// A buffer that reserves its capacity in a budget before it grows.
pub struct ReservedBuffer {
    budget: MemoryBudget,
    storage: Storage,
    /// `None` as long as the buffer holds at most [`UNRESERVED_BYTES`].
    reservation: Option<Reservation>,
    expected: ExpectedLength,
    waited: Duration,
}

/// The length of the content that a buffer will hold, in bytes.
#[derive(Clone, Copy, Debug)]
pub enum ExpectedLength {
    /// The length is known. It is reserved at once.
    Exactly(usize),
    /// Only a maximum is known. Memory is reserved in steps, as the content arrives.
    AtMost(usize),
}

impl ExpectedLength {
    /// Returns the length of a body as its head states it, or `max_bytes` as the maximum if it does not.
    pub fn of_body(body: &impl Body, max_bytes: usize) -> Self {
        match body.size_hint().exact() {
            Some(length) => Self::Exactly(length as usize),
            None => Self::AtMost(max_bytes),
        }
    }

    /// Returns the capacity for `needed` bytes.
    fn capacity(self, needed: usize) -> usize {
        let capacity = match self {
            Self::Exactly(length) => length,
            Self::AtMost(max_bytes) => {
                let step = CAPACITY_STEPS.into_iter().find(|step| *step >= needed);
                step.unwrap_or(max_bytes).min(max_bytes)
            }
        };
        capacity.max(needed)
    }
}

/// The memory of a buffer.
enum Storage {
    Heap(Vec<u8>),
    /// Pages of their own, which the kernel provides as they are used and gets back at once. Large buffers on the
    /// heap would leave gaps behind that nothing else fits into.
    Pages {
        pages: MmapMut,
        length: usize,
    },
}

impl Storage {
    fn capacity(&self) -> usize {
        match self {
            Self::Heap(bytes) => bytes.capacity(),
            Self::Pages { pages, .. } => pages.len(),
        }
    }

    fn extend_from_slice(&mut self, added: &[u8]) {
        match self {
            Self::Heap(bytes) => bytes.extend_from_slice(added),
            Self::Pages { pages, length } => {
                let end = *length + added.len();
                pages[*length..end].copy_from_slice(added);
                *length = end;
            }
        }
    }

    /// Moves the content to memory with this capacity, which is at least its length.
    fn grow_to(&mut self, capacity: usize) -> Result<(), BudgetExhausted> {
        if let Self::Heap(bytes) = self
            && capacity <= MAX_HEAP_BYTES
        {
            bytes.reserve_exact(capacity - bytes.len());
            return Ok(());
        }
        let pages = MmapMut::map_anon(capacity).map_err(|_| BudgetExhausted { bytes: capacity })?;
        let mut grown = Self::Pages { pages, length: 0 };
        grown.extend_from_slice(self.as_ref());
        *self = grown;
        Ok(())
    }
}

impl AsRef<[u8]> for Storage {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Pages { pages, length } => &pages[..*length],
        }
    }
}

impl ReservedBuffer {
    /// Creates an empty buffer that reserves its memory in `budget`.
    pub fn new(budget: &MemoryBudget, expected: ExpectedLength) -> Self {
        let budget = budget.clone();
        let storage = Storage::Heap(Vec::new());
        Self { budget, storage, reservation: None, expected, waited: Duration::ZERO }
    }

    /// Appends bytes. Waits if the budget is exhausted. Fails if the buffer has waited for longer than
    /// [`RESERVATION_TIMEOUT`] in all, and is unchanged then.
    pub async fn extend_from_slice(&mut self, bytes: &[u8]) -> Result<(), BudgetExhausted> {
        let needed = self.storage.as_ref().len() + bytes.len();
        if needed > self.storage.capacity() {
            self.grow(needed).await?;
        }
        self.storage.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns how long the buffer has waited for reservations.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Returns the content, which keeps its reservation until its last reference is dropped.
    pub fn freeze(self) -> Bytes {
        let length = self.storage.as_ref().len();
        match (self.storage, self.reservation) {
            (Storage::Heap(bytes), None) => bytes.into(),
            (storage, reservation) => {
                let reservation = reservation.map(|mut reservation| {
                    reservation.shrink_to(length);
                    reservation
                });
                Bytes::from_owner(ReservedBytes { storage, _reservation: reservation })
            }
        }
    }

    /// Reserves and allocates room for `needed` bytes in all.
    async fn grow(&mut self, needed: usize) -> Result<(), BudgetExhausted> {
        let capacity = self.expected.capacity(needed);
        if capacity > UNRESERVED_BYTES {
            self.reserve(capacity).await?;
        }
        self.storage.grow_to(capacity)
    }

    /// Increases the reservation to `total` bytes.
    async fn reserve(&mut self, total: usize) -> Result<(), BudgetExhausted> {
        let reserved = self.reservation.as_ref().map_or(0, Reservation::bytes);
        if total <= reserved {
            return Ok(());
        }
        let started_at = Instant::now();
        let max_wait = RESERVATION_TIMEOUT.saturating_sub(self.waited);
        let result = self.budget.reserve_within(total - reserved, max_wait).await;
        self.waited += started_at.elapsed();
        result?.add_to(&mut self.reservation);
        Ok(())
    }
}

/// The owner of reserved memory.
struct ReservedBytes {
    storage: Storage,
    _reservation: Option<Reservation>,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        self.storage.as_ref()
    }
}
