//! The connection pool of all upstreams: limits the open connections and keeps idle ones for reuse.

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

/// How often the pool looks for idle connections that have expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Permission to have one connection open, held until the connection's descriptor is closed.
pub type Slot = OwnedSemaphorePermit;

/// The connections to all upstreams.
pub struct Pool {
    idle: RefCell<IdleConnections>,
    /// Wakes all tasks that wait for a slot.
    became_idle: Notify,
    slots: Arc<Semaphore>,
    max_connections: usize,
    max_idle_time: Duration,
    exhausted_log: RateLimitedLog,
}

impl Pool {
    /// Creates an empty pool. At most `max_connections` are open at once, and a connection is not reused
    /// after it has been idle for `max_idle_time`.
    pub fn new(max_connections: usize, max_idle_time: Duration) -> Self {
        Self {
            idle: RefCell::default(),
            became_idle: Notify::new(),
            slots: Arc::new(Semaphore::new(max_connections)),
            max_connections,
            max_idle_time,
            exhausted_log: RateLimitedLog::default(),
        }
    }

    /// Keeps a connection on which no request is in flight, unless it is known to be closed.
    pub fn put(&self, upstream: UpstreamId, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.push(IdleConnection { upstream, connection, idle_since: Instant::now() });
        self.became_idle.notify_waiters();
    }

    /// Takes the connection to an upstream that became idle last. Closes those that can't be reused.
    pub fn take(&self, upstream: UpstreamId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(newest) = idle.pop_newest(upstream) {
            if newest.idle_since.elapsed() < self.max_idle_time && !newest.connection.is_closed() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: UpstreamId) {
        self.idle.borrow_mut().close_all(upstream);
    }

    /// Waits for a slot for a connection to `upstream`. Closes the connection that has been idle longest if
    /// no slot is free. Returns `None` if a connection to `upstream` became idle in the meantime, which can
    /// be taken instead.
    pub async fn acquire_slot(&self, upstream: UpstreamId) -> Option<Slot> {
        if self.slots.available_permits() == 0 && !self.close_oldest() {
            let max_connections = self.max_connections;
            self.exhausted_log.warn(|skipped| {
                tracing::warn!(skipped, max_connections, "all upstream connections are in use")
            });
        }
        let mut slot = pin!(Arc::clone(&self.slots).acquire_owned());
        loop {
            let became_idle = self.became_idle.notified();
            tokio::select! {
                biased;
                slot = slot.as_mut() => return Some(slot.expect("the semaphore is never closed")),
                () = became_idle => {
                    if self.idle.borrow().contains(upstream) {
                        return None;
                    }
                    self.close_oldest();
                }
            }
        }
    }

    /// Closes expired idle connections at a fixed interval. Never returns.
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
    fn close_oldest(&self) -> bool {
        self.idle.borrow_mut().pop_oldest().is_some()
    }

    /// The number of open connections.
    #[cfg(test)]
    pub fn open_connections(&self) -> usize {
        self.max_connections - self.slots.available_permits()
    }
}
