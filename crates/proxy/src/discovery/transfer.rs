//! The time that an endpoint list may take to arrive.
//!
//! A list is received as long as it keeps arriving. It is given up once nothing has arrived for
//! [`SILENCE_TIMEOUT`], once its mean rate is below [`MIN_BYTES_PER_SECOND`], or after [`MAX_TRANSFER_TIME`].

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::time::Instant;

/// Time without any data after which discovery counts as failed, even if its connection is still open. A
/// healthy discovery sends at least an empty line every 2 s. A change counts as delivered (see
/// [`discovery`](crate::discovery)) at the latest 6 s after a watch fell silent: long enough to time out on
/// this watch and on a second silent one, and to start a third.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Minimum mean rate of a list, which may take [`SILENCE_TIMEOUT`] longer than it would at this rate. The
/// rate is about half of that at which a list of 3,200 upstreams (480 KB) arrives in 8 s. A list that
/// trickles in is given up only slightly later than a silent one.
const MIN_BYTES_PER_SECOND: f64 = 32.0 * 1024.0;
/// Maximum time for one list, so that a list without an end does not hide later changes forever.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// The timing of one list while it arrives.
#[derive(Clone, Copy)]
pub(super) struct Transfer {
    started_at: Instant,
    last_bytes_at: Instant,
    received_bytes: usize,
}

impl Transfer {
    /// Starts timing a list of which the first `received_bytes` bytes have just arrived, or nothing but the
    /// head of the response (0 bytes).
    pub(super) fn start(received_bytes: usize) -> Self {
        let now = Instant::now();
        Self { started_at: now, last_bytes_at: now, received_bytes }
    }

    /// Records that `bytes` more bytes have just arrived.
    pub(super) fn record(&mut self, bytes: usize) {
        self.last_bytes_at = Instant::now();
        self.received_bytes += bytes;
    }

    /// Returns the time at which the list is given up unless more of it arrives.
    pub(super) fn deadline(&self) -> Instant {
        let time_at_min_rate = Duration::from_secs_f64(self.received_bytes as f64 / MIN_BYTES_PER_SECOND);
        let rate_deadline = self.started_at + SILENCE_TIMEOUT + time_at_min_rate;
        let silence_deadline = self.last_bytes_at + SILENCE_TIMEOUT;
        silence_deadline.min(rate_deadline).min(self.started_at + MAX_TRANSFER_TIME)
    }
}
