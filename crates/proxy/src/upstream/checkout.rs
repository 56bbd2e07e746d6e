//! Checks connections out of the pool, or opens new ones, and checks them in again after use.

use crate::deadline::earlier_deadline;
use crate::upstream::connection::Connection;
use crate::upstream::set::{Upstream, Upstreams};
use balancer_core::{Outcome, UpstreamId};
use std::io;
use tokio::time::{Instant, timeout_at};

#[cfg(test)]
mod tests;

/// The share of the connect timeout that a connect must have had to count against its upstream. The rest of
/// the timeout has gone to the wait for a slot.
const MIN_CONNECT_SHARE: f64 = 0.8;

/// A connection in use by one attempt.
pub struct CheckedOut {
    /// The connection.
    pub connection: Connection,
    /// Whether it has carried requests before.
    pub reused: bool,
    /// The start time of the upstream's process, as known when the connection was asked for.
    started_at_unix_ms: u64,
}

impl Upstreams {
    /// Checks out a connection to an upstream: an idle one if there is any, otherwise a new one. The wait for
    /// a slot and the connect end at `deadline`, and together take no longer than the connect timeout. Fails
    /// with the outcome of the attempt.
    pub(super) async fn check_out(
        &self,
        id: UpstreamId,
        upstream: &Upstream,
        deadline: Instant,
    ) -> Result<CheckedOut, Outcome> {
        let started_at_unix_ms = upstream.started_at_unix_ms.get();
        let connect_deadline = earlier_deadline(deadline, Instant::now(), self.connect_timeout);
        let slot = loop {
            if let Some(connection) = self.take_usable(id).await {
                return Ok(CheckedOut { connection, reused: true, started_at_unix_ms });
            }
            match timeout_at(connect_deadline, self.pool.acquire_slot(id)).await {
                Ok(Some(slot)) => break slot,
                Ok(None) => {}
                // A lack of slots or of time on this side says nothing about the upstream.
                Err(_) => return Err(Outcome::NotSent),
            }
        };
        let Some(address) = upstream.address.get() else { return Err(Outcome::NotSent) };
        let min_connect_time = self.connect_timeout.mul_f64(MIN_CONNECT_SHARE);
        let connect_time = connect_deadline.saturating_duration_since(Instant::now());
        match timeout_at(connect_deadline, Connection::open(address, slot)).await {
            Ok(Ok(connection)) => Ok(CheckedOut { connection, reused: false, started_at_unix_ms }),
            Ok(Err(error)) if is_local_shortage(&error) => Err(Outcome::NotSent),
            Ok(Err(error)) => {
                tracing::debug!(%address, %error, "connect failed");
                Err(Outcome::ConnectFailed)
            }
            Err(_) if connect_deadline == deadline || connect_time < min_connect_time => {
                Err(Outcome::NotSent)
            }
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Takes an idle connection that can carry a request.
    async fn take_usable(&self, id: UpstreamId) -> Option<Connection> {
        while let Some(mut connection) = self.pool.take(id) {
            if connection.is_usable().await {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. Closes it instead if the upstream takes no requests any more, has
    /// moved, or has restarted since the connection was asked for.
    pub(super) fn check_in(&self, id: UpstreamId, upstream: &Upstream, checked_out: CheckedOut) {
        let CheckedOut { connection, started_at_unix_ms, .. } = checked_out;
        let same_process = upstream.started_at_unix_ms.get() == started_at_unix_ms;
        let same_address = upstream.address.get() == Some(connection.peer());
        if upstream.ready.get() && same_process && same_address {
            self.pool.put(id, connection);
        }
    }
}

/// Whether a connection failed for lack of a resource of this machine, which says nothing about the peer.
fn is_local_shortage(error: &io::Error) -> bool {
    // By number, because most of these have no `io::ErrorKind` of their own.
    use libc::{EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    matches!(error.raw_os_error(), Some(ENOMEM | ENFILE | EMFILE | EADDRNOTAVAIL | ENOBUFS))
}
