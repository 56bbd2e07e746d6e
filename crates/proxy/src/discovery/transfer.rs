//! How long an endpoint list may take to arrive.
//!
//! A list that keeps arriving is followed to its end. It is given up once nothing has arrived for
//! [`SILENCE_TIMEOUT`], once its mean rate is under [`MIN_BYTES_PER_SECOND`], or after [`MAX_TRANSFER_TIME`].

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::time::Instant;

/// Discovery that sends nothing for this long has failed, whatever the state of its connection: it sends at
/// least an empty line every 2 s. A change counts as delivered (see [`discovery`](crate::discovery)) at the
/// latest 6 s after a watch fell silent, which leaves time to find out, to find the same of the next watch,
/// and to begin a third.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The least mean rate of a list, beyond [`SILENCE_TIMEOUT`]. Half of what a list of 3,200 upstreams (480 KB)
/// needs to arrive in 8 s; a list that trickles in hardly takes longer than silence.
const MIN_BYTES_PER_SECOND: f64 = 32.0 * 1024.0;
/// The longest time for one list: a list without an end must not hide changes for ever.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// The arrival of one list.
#[derive(Clone, Copy)]
pub(super) struct Transfer {
    began_at: Instant,
    last_bytes_at: Instant,
    bytes: usize,
}

impl Transfer {
    /// A list whose first bytes have just arrived, or which has just been called for.
    pub(super) fn begin(bytes: usize) -> Self {
        let now = Instant::now();
        Self { began_at: now, last_bytes_at: now, bytes }
    }

    /// Notes that more bytes have arrived.
    pub(super) fn record(&mut self, bytes: usize) {
        self.last_bytes_at = Instant::now();
        self.bytes += bytes;
    }

    /// When the list is given up if nothing more arrives.
    pub(super) fn gives_up_at(&self) -> Instant {
        let earned = Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_SECOND);
        let too_slow_at = self.began_at + SILENCE_TIMEOUT + earned;
        let silent_at = self.last_bytes_at + SILENCE_TIMEOUT;
        silent_at.min(too_slow_at).min(self.began_at + MAX_TRANSFER_TIME)
    }
}
