//! Limits on the memory that connections, requests and responses occupy. Whoever needs more than a small
//! amount reserves it first, and waits for a short time if the budget is exhausted.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

#[cfg(test)]
mod tests;

/// Maximum time for which [`MemoryBudget::reserve`] waits. A client that has stopped in the middle of its
/// request can be evicted within this time.
pub const RESERVATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a waiting reservation tries to borrow from connections.
const BORROW_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of a budget. A reservation counts its bytes in 32 bits.
const MAX_BUDGET_BYTES: usize = u32::MAX as usize;

/// How the memory limit of the process is divided, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// For connections, if all that are allowed are open.
    pub connections: usize,
    /// The part of `connections` that is never lent to requests and responses.
    pub connection_headroom: usize,
    /// For the heads and bodies of requests, and for bytes that were read behind them.
    pub requests: usize,
    /// For the bodies of responses.
    pub responses: usize,
}

/// The budgets of the process. Requests and responses have separate ones: a request keeps its memory until
/// its response is complete, and would wait for itself if both shared one. If its own budget is exhausted,
/// either of them borrows memory that connections do not use.
#[derive(Clone)]
pub struct MemoryBudgets {
    /// For connections with requests of common size.
    pub connections: ConnectionMemory,
    /// For the heads and bodies of requests, and for bytes that were read behind them.
    pub requests: MemoryBudget,
    /// For the bodies of responses.
    pub responses: MemoryBudget,
}

impl MemoryBudgets {
    /// Creates budgets of which everything is available.
    pub fn new(plan: &MemoryPlan) -> Self {
        let connections = ConnectionMemory::new(plan.connections, plan.connection_headroom);
        Self {
            requests: MemoryBudget::new(plan.requests, &connections),
            responses: MemoryBudget::new(plan.responses, &connections),
            connections,
        }
    }

    /// Creates budgets that allow `count` connections to upstreams, and `bytes` each for requests and responses,
    /// which borrow nothing.
    #[cfg(test)]
    pub fn for_upstream_connections(count: usize, bytes: usize) -> Self {
        let connections = count * crate::upstream::UPSTREAM_CONNECTION_BYTES;
        let plan =
            MemoryPlan { connections, connection_headroom: connections, requests: bytes, responses: bytes };
        Self::new(&plan)
    }
}

/// The memory for connections. What they do not need is lent to requests and responses. New connections wait
/// until it is returned, if necessary.
#[derive(Clone)]
pub struct ConnectionMemory {
    /// One permit is one byte.
    bytes: Arc<Semaphore>,
    headroom: usize,
}

impl ConnectionMemory {
    fn new(bytes: usize, headroom: usize) -> Self {
        Self { bytes: Arc::new(Semaphore::new(bytes.min(MAX_BUDGET_BYTES))), headroom }
    }

    /// Reserves `bytes` for a connection. Fails if they are in use or lent.
    pub fn try_reserve(&self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        let permit = try_acquire(&self.bytes, bytes)?;
        Ok(Reservation { own: permit, borrowed: None })
    }

    /// Waits until `bytes` can be reserved for a connection.
    pub async fn reserve(&self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        let permit = acquire(&self.bytes, bytes).await?;
        Ok(Reservation { own: permit, borrowed: None })
    }

    /// Lends `bytes` to a request or a response. Fails if they would be missing from the headroom.
    fn try_lend(&self, bytes: usize) -> Result<OwnedSemaphorePermit, BudgetExhausted> {
        if self.bytes.available_permits() < self.headroom.saturating_add(bytes) {
            return Err(BudgetExhausted { bytes });
        }
        try_acquire(&self.bytes, bytes)
    }
}

/// Returns a budget that can borrow nothing.
#[cfg(test)]
pub fn budget_of(bytes: usize) -> MemoryBudget {
    MemoryBudget::new(bytes, &ConnectionMemory::new(0, 0))
}

fn try_acquire(semaphore: &Arc<Semaphore>, bytes: usize) -> Result<OwnedSemaphorePermit, BudgetExhausted> {
    let permits = permits_for(bytes)?;
    Arc::clone(semaphore).try_acquire_many_owned(permits).map_err(|_| BudgetExhausted { bytes })
}

async fn acquire(semaphore: &Arc<Semaphore>, bytes: usize) -> Result<OwnedSemaphorePermit, BudgetExhausted> {
    let permits = permits_for(bytes)?;
    Arc::clone(semaphore).acquire_many_owned(permits).await.map_err(|_| BudgetExhausted { bytes })
}

/// Returns the number of permits for `bytes`. Fails if they are more than the largest budget.
fn permits_for(bytes: usize) -> Result<u32, BudgetExhausted> {
    u32::try_from(bytes).map_err(|_| BudgetExhausted { bytes })
}

/// A limit on the total size of all reservations, apart from memory that is borrowed from connections.
#[derive(Clone)]
pub struct MemoryBudget {
    state: Arc<BudgetState>,
}

struct BudgetState {
    /// One permit is one byte. Waiting reservations are served in their order.
    bytes: Arc<Semaphore>,
    lender: ConnectionMemory,
    /// The number of reservations that wait.
    waiting: AtomicUsize,
    /// Notified when a reservation starts to wait.
    shortage: Notify,
}

/// The error of a reservation that the budget cannot hold.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
#[error("the memory budget has fewer than {bytes} bytes left")]
pub struct BudgetExhausted {
    /// The number of bytes that could not be reserved.
    pub bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of which all `bytes` are available.
    fn new(bytes: usize, lender: &ConnectionMemory) -> Self {
        let state = BudgetState {
            bytes: Arc::new(Semaphore::new(bytes.min(MAX_BUDGET_BYTES))),
            lender: lender.clone(),
            waiting: AtomicUsize::new(0),
            shortage: Notify::new(),
        };
        Self { state: Arc::new(state) }
    }

    /// Reserves `bytes` until the reservation is dropped. Fails if they are available neither in this budget
    /// nor from connections.
    pub fn try_reserve(&self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        match try_acquire(&self.state.bytes, bytes) {
            Ok(own) => Ok(Reservation { own, borrowed: None }),
            Err(_) => self.try_borrow(bytes),
        }
    }

    fn try_borrow(&self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        let borrowed = self.state.lender.try_lend(bytes)?;
        let own = try_acquire(&self.state.bytes, 0)?;
        Ok(Reservation { own, borrowed: Some(borrowed) })
    }

    /// Reserves `bytes` until the reservation is dropped. If they are not available, waits for them. Fails
    /// after [`RESERVATION_TIMEOUT`].
    pub async fn reserve(&self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        self.reserve_within(bytes, RESERVATION_TIMEOUT).await
    }

    /// Reserves `bytes` until the reservation is dropped. If they are not available, waits for them. Fails
    /// after `max_wait`.
    pub async fn reserve_within(
        &self,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<Reservation, BudgetExhausted> {
        if let Ok(reservation) = self.try_reserve(bytes) {
            return Ok(reservation);
        }
        let _waiting = WaitingReservation::new(&self.state);
        let deadline = Instant::now() + max_wait;
        let mut own = pin!(acquire(&self.state.bytes, bytes));
        loop {
            let next_check = deadline.min(Instant::now() + BORROW_RETRY_INTERVAL);
            if let Ok(own) = timeout_at(next_check, own.as_mut()).await {
                return Ok(Reservation { own: own?, borrowed: None });
            }
            if let Ok(reservation) = self.try_borrow(bytes) {
                return Ok(reservation);
            }
            if Instant::now() >= deadline {
                return Err(BudgetExhausted { bytes });
            }
        }
    }

    /// Waits until a reservation waits for memory that others have to release.
    pub async fn shortage(&self) {
        while self.waiting() == 0 {
            self.state.shortage.notified().await;
        }
    }

    /// Returns the number of reservations that wait.
    pub fn waiting(&self) -> usize {
        self.state.waiting.load(Ordering::Relaxed)
    }
}

/// Counts a reservation that waits, until it is dropped.
struct WaitingReservation<'a> {
    state: &'a BudgetState,
}

impl<'a> WaitingReservation<'a> {
    fn new(state: &'a BudgetState) -> Self {
        state.waiting.fetch_add(1, Ordering::Relaxed);
        state.shortage.notify_one();
        Self { state }
    }
}

impl Drop for WaitingReservation<'_> {
    fn drop(&mut self) {
        self.state.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A number of reserved bytes. Dropping the reservation releases them.
#[derive(Debug)]
pub struct Reservation {
    own: OwnedSemaphorePermit,
    /// Bytes that are borrowed from connections.
    borrowed: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.own.num_permits() + self.borrowed.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Adds the bytes of another reservation in the same budget.
    fn merge(&mut self, other: Self) {
        self.own.merge(other.own);
        match (&mut self.borrowed, other.borrowed) {
            (Some(borrowed), Some(added)) => borrowed.merge(added),
            (borrowed @ None, added) => *borrowed = added,
            (Some(_), None) => {}
        }
    }

    /// Adds the reservation to `total`, which is in the same budget.
    pub fn add_to(self, total: &mut Option<Self>) {
        match total {
            Some(total) => total.merge(self),
            None => *total = Some(self),
        }
    }

    /// Reduces the reservation to `bytes` if it is larger, and releases the difference. Borrowed bytes are
    /// returned first.
    pub fn shrink_to(&mut self, bytes: usize) {
        let mut excess = self.bytes().saturating_sub(bytes);
        if let Some(borrowed) = &mut self.borrowed {
            let returned = excess.min(borrowed.num_permits());
            drop(borrowed.split(returned));
            excess -= returned;
        }
        drop(self.own.split(excess));
    }
}
