//! The monotonic clock that timestamps the balancer's events, and the wall clock that tells the age of an
//! upstream's process.

#[cfg(test)]
mod tests;

use balancer_core::ProcessStart;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The time that a [`Clock`] shows when it starts. It is not zero, because the balancer takes zero for
/// "never".
const TIME_AT_START: Duration = Duration::from_secs(3600);

/// A monotonic clock that starts at [`TIME_AT_START`].
pub(super) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock.
    pub(super) fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// Returns the current time on this clock.
    pub(super) fn now(&self) -> Duration {
        TIME_AT_START + self.started_at.elapsed()
    }
}

/// A reading of the wall clock. The wall clock may be stepped between two readings.
#[derive(Clone, Copy)]
pub(super) struct WallClockReading {
    /// Time since the Unix epoch.
    unix_time: Duration,
}

impl WallClockReading {
    /// Reads the wall clock. A time before the Unix epoch counts as the epoch.
    pub(super) fn now() -> Self {
        Self { unix_time: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() }
    }

    /// Converts the start time of an upstream's process, which discovery states as Unix time in milliseconds,
    /// into the balancer's form. A start time of 0 stands for a process that started long ago or for a time
    /// that the list does not state; both are `Unknown`. A start time in the future has an age of zero.
    pub(super) fn process_start(self, started_at_unix_ms: u64) -> ProcessStart {
        if started_at_unix_ms == 0 {
            return ProcessStart::Unknown;
        }
        let age = self.unix_time.saturating_sub(Duration::from_millis(started_at_unix_ms));
        ProcessStart::ByWallClock { incarnation: started_at_unix_ms, age }
    }
}
