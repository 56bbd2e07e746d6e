//! Warnings about what peers send, at a bounded rate: a peer can repeat itself faster than the log may grow.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Least time between two warnings.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Logs at most one warning in each [`WARNING_INTERVAL`] and counts those that it suppresses.
#[derive(Default)]
pub struct RateLimitedLog {
    last_logged_at: Cell<Option<Instant>>,
    /// Warnings suppressed since the last one that was logged.
    skipped: Cell<u64>,
}

impl RateLimitedLog {
    /// Calls `log`, which writes the warning, with the number of warnings suppressed before it; or suppresses
    /// the warning.
    pub fn warn(&self, log: impl FnOnce(u64)) {
        let now = Instant::now();
        if self.last_logged_at.get().is_some_and(|last| now - last < WARNING_INTERVAL) {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.last_logged_at.set(Some(now));
        log(self.skipped.replace(0));
    }
}
