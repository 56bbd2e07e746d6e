//! The clock that the balancer's events are stamped with.

#[cfg(test)]
mod tests;

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reading of the clock when this process starts. It is not zero, so that upstreams that started before this
/// process have a time on the clock too.
const TIME_AT_START: Duration = Duration::from_secs(3600);

/// A monotonic clock that begins one hour before this process started.
pub(super) struct Clock {
    started_at: Instant,
    /// Unix time of the start.
    started_at_unix: Duration,
}

impl Clock {
    /// Starts the clock.
    pub(super) fn start() -> Self {
        let started_at_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), started_at_unix }
    }

    /// The present time on this clock.
    pub(super) fn now(&self) -> Duration {
        TIME_AT_START + self.started_at.elapsed()
    }

    /// Converts a Unix time to this clock; `None` if it is an hour or more before the start of this process.
    /// A time in the future, which the wall clocks of two machines can produce, counts as the present one.
    pub(super) fn at_unix_ms(&self, unix_ms: u64) -> Option<Duration> {
        let time = (Duration::from_millis(unix_ms) + TIME_AT_START).checked_sub(self.started_at_unix)?;
        if time.is_zero() {
            return None;
        }
        Some(time.min(self.now()))
    }
}
