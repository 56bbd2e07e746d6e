//! The connection pool that all upstreams share. It limits the number of open connections and keeps idle ones
//! for reuse.

use crate::memory_budget::{ConnectionMemory, Reservation};
use crate::rate_limited_log::RateLimitedLog;
use crate::upstream::connection::Connection;
use balancer_core::UpstreamId;
use idle_connections::{IdleConnection, IdleConnections};
use std::cell::RefCell;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

mod idle_connections;
#[cfg(test)]
mod tests;

/// Interval at which the pool closes idle connections that have expired or are known to be closed.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Memory of a connection to an upstream, in bytes.
pub const CONNECTION_BYTES: usize = 40 * 1024;

/// A permit for one open connection. It is held until the file descriptor of the connection is closed.
pub struct ConnectionSlot {
    _permit: OwnedSemaphorePermit,
    _memory: Reservation,
}

/// The idle connections to all upstreams, and the permits for open ones.
pub struct ConnectionPool {
    idle: RefCell<IdleConnections>,
    /// Notified each time a connection becomes idle. Wakes all tasks that wait for a slot.
    became_idle: Notify,
    slots: Arc<Semaphore>,
    memory: ConnectionMemory,
    max_connections: usize,
    max_idle_time: Duration,
    exhaustion_log: RateLimitedLog,
}

impl ConnectionPool {
    /// Creates an empty pool. At most `max_connections` connections are open at the same time, and no more than
    /// `memory` allows. A connection that has been idle for `max_idle_time` is not reused.
    pub fn new(max_connections: usize, max_idle_time: Duration, memory: ConnectionMemory) -> Self {
        Self {
            idle: RefCell::default(),
            became_idle: Notify::new(),
            slots: Arc::new(Semaphore::new(max_connections)),
            memory,
            max_connections,
            max_idle_time,
            exhaustion_log: RateLimitedLog::default(),
        }
    }

    /// Adds a connection on which no request is in flight, unless it is known to be closed.
    pub fn put(&self, upstream: UpstreamId, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.push(IdleConnection { upstream, connection, idle_since: Instant::now() });
        self.became_idle.notify_waiters();
    }

    /// Takes an idle connection to an upstream, preferably the most recently used one. Skips and closes
    /// connections that have expired or are known to be closed. Returns `None` if no connection remains.
    pub fn take(&self, upstream: UpstreamId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(most_recent) = idle.pop_most_recent(upstream) {
            if most_recent.idle_since.elapsed() < self.max_idle_time && !most_recent.connection.is_closed() {
                return Some(most_recent.connection);
            }
        }
        None
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: UpstreamId) {
        self.idle.borrow_mut().close_all(upstream);
    }

    /// Waits for a slot for a new connection to `upstream`. If no slot is free, closes the connection that
    /// has been idle longest, as soon as there is one. Returns `None` if a connection to `upstream` became
    /// idle during the wait. The caller can take that one instead.
    pub async fn acquire_slot(&self, upstream: UpstreamId) -> Option<ConnectionSlot> {
        if let Some(slot) = self.try_acquire_slot() {
            return Some(slot);
        }
        if !self.close_longest_idle() {
            let max_connections = self.max_connections;
            self.exhaustion_log.warn(|skipped| {
                tracing::warn!(
                    skipped,
                    max_connections,
                    "all upstream connections are in use; an attempt waits for one"
                )
            });
        }
        let mut slot = pin!(self.wait_for_slot());
        loop {
            let became_idle = self.became_idle.notified();
            tokio::select! {
                biased;
                slot = slot.as_mut() => return slot,
                () = became_idle => {
                    if self.idle.borrow().contains(upstream) {
                        return None;
                    }
                    self.close_longest_idle();
                }
            }
        }
    }

    fn try_acquire_slot(&self) -> Option<ConnectionSlot> {
        let permit = Arc::clone(&self.slots).try_acquire_owned().ok()?;
        let memory = self.memory.try_reserve(CONNECTION_BYTES).ok()?;
        Some(ConnectionSlot { _permit: permit, _memory: memory })
    }

    /// Waits for a slot. Returns `None` only if the memory of a connection exceeds all memory for connections.
    async fn wait_for_slot(&self) -> Option<ConnectionSlot> {
        let permit = Arc::clone(&self.slots).acquire_owned().await.expect("the semaphore is never closed");
        let memory = self.memory.reserve(CONNECTION_BYTES).await.ok()?;
        Some(ConnectionSlot { _permit: permit, _memory: memory })
    }

    /// Closes idle connections that have expired or are known to be closed, at a fixed interval. Never
    /// returns.
    pub async fn close_expired_periodically(&self) {
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            self.close_expired();
        }
    }

    fn close_expired(&self) {
        let now = Instant::now();
        self.idle
            .borrow_mut()
            .close_where(|idle| idle.connection.is_closed() || now - idle.idle_since >= self.max_idle_time);
    }

    /// Closes the connection that has been idle longest. Returns `false` if none is idle.
    fn close_longest_idle(&self) -> bool {
        self.idle.borrow_mut().pop_longest_idle().is_some()
    }

    /// Returns the number of slots in use.
    #[cfg(test)]
    pub fn open_connections(&self) -> usize {
        self.max_connections - self.slots.available_permits()
    }
}
