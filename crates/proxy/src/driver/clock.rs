//! The clock that the balancer's events are stamped with, and how old the starts of upstreams are by the wall
//! clock.

#[cfg(test)]
mod tests;

use balancer_core::ProcessStart;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reading of the clock when this process starts. The balancer takes zero for "never".
const TIME_AT_START: Duration = Duration::from_secs(3600);

/// A monotonic clock.
pub(super) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts the clock.
    pub(super) fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    /// The present time on this clock.
    pub(super) fn now(&self) -> Duration {
        TIME_AT_START + self.started_at.elapsed()
    }
}

/// One reading of the wall clock, which may be stepped between two of them.
#[derive(Clone, Copy)]
pub(super) struct WallClockReading {
    unix_time: Duration,
}

impl WallClockReading {
    /// Reads the clock.
    pub(super) fn now() -> Self {
        Self { unix_time: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() }
    }

    /// The start of an upstream's process that discovery states in Unix time; 0 stands for long ago.
    pub(super) fn process_start(self, started_at_unix_ms: u64) -> ProcessStart {
        if started_at_unix_ms == 0 {
            return ProcessStart::Unknown;
        }
        let age = self.unix_time.saturating_sub(Duration::from_millis(started_at_unix_ms));
        ProcessStart::ByWallClock { incarnation: started_at_unix_ms, age }
    }
}
