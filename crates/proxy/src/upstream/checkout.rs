//! Checks connections out of the pool or opens new ones, and returns them to the pool after use.

use crate::deadline::earlier_deadline;
use crate::upstream::connection::Connection;
use crate::upstream::set::{Upstream, Upstreams};
use balancer_core::{Outcome, UpstreamId};
use std::io;
use tokio::time::{Instant, timeout_at};

#[cfg(test)]
mod tests;

/// A connect that times out counts as a failure of the upstream only if at least this fraction of the connect
/// timeout was left for it. The wait for a slot may have taken the rest.
const MIN_CONNECT_TIME_FRACTION: f64 = 0.8;

/// A connection that one attempt uses.
pub struct CheckedOutConnection {
    /// The connection, taken from the pool or newly opened.
    pub connection: Connection,
    /// Whether the connection was taken from the pool.
    pub reused: bool,
    /// The start time of the upstream's process in milliseconds of Unix time, as it was known at the
    /// checkout.
    started_at_unix_ms: u64,
}

impl Upstreams {
    /// Checks out a connection to an upstream. Reuses an idle connection if there is one, and opens a new one
    /// otherwise. The wait for a slot and the connect together are limited by `deadline` and by the connect
    /// timeout. Fails with the outcome of the attempt.
    pub(super) async fn check_out(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        deadline: Instant,
    ) -> Result<CheckedOutConnection, Outcome> {
        let started_at_unix_ms = upstream.started_at_unix_ms.get();
        let connect_deadline = earlier_deadline(deadline, Instant::now(), self.connect_timeout);
        let slot = loop {
            if let Some(connection) = self.take_usable(id).await {
                return Ok(CheckedOutConnection { connection, reused: true, started_at_unix_ms });
            }
            match timeout_at(connect_deadline, self.pool.acquire_slot(id)).await {
                Ok(Some(slot)) => break slot,
                Ok(None) => {}
                // A lack of slots or of time in the proxy is not a failure of the upstream.
                Err(_) => return Err(Outcome::NotSent),
            }
        };
        let Some(address) = upstream.address.get() else { return Err(Outcome::NotSent) };
        let min_connect_time = self.connect_timeout.mul_f64(MIN_CONNECT_TIME_FRACTION);
        let available_connect_time = connect_deadline.saturating_duration_since(Instant::now());
        match timeout_at(connect_deadline, Connection::open(address, slot)).await {
            Ok(Ok(connection)) => Ok(CheckedOutConnection { connection, reused: false, started_at_unix_ms }),
            Ok(Err(error)) if is_local_resource_exhaustion(&error) => Err(Outcome::NotSent),
            Ok(Err(error)) => {
                tracing::debug!(%address, %error, "connect to upstream failed");
                Err(Outcome::ConnectFailed)
            }
            Err(_) if connect_deadline == deadline || available_connect_time < min_connect_time => {
                Err(Outcome::NotSent)
            }
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Takes an idle connection that can carry a request from the pool. Returns `None` if there is none.
    async fn take_usable(&self, id: UpstreamId) -> Option<Connection> {
        while let Some(mut connection) = self.pool.take(id) {
            if connection.is_usable().await {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. Closes it instead if the upstream no longer takes requests, or if
    /// its address changed or it restarted since the checkout.
    pub(super) fn check_in(&self, id: UpstreamId, upstream: &Upstream, checked_out: CheckedOutConnection) {
        let CheckedOutConnection { connection, started_at_unix_ms, .. } = checked_out;
        let same_process = upstream.started_at_unix_ms.get() == started_at_unix_ms;
        let same_address = upstream.address.get() == Some(connection.peer());
        if upstream.ready.get() && same_process && same_address {
            self.pool.put(id, connection);
        }
    }
}

/// Returns whether a connect failed because this machine is short of a resource, which is not a failure of
/// the peer.
fn is_local_resource_exhaustion(error: &io::Error) -> bool {
    // Compares error numbers because most of these errors have no `io::ErrorKind` of their own.
    use libc::{EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    matches!(error.raw_os_error(), Some(ENOMEM | ENFILE | EMFILE | EADDRNOTAVAIL | ENOBUFS))
}
