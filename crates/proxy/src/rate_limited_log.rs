//! Limits the rate of repeated warnings. Without a limit, a peer that repeats a fault could flood the log.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Minimum time between two warnings in the log.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// Logs at most one warning per [`WARNING_INTERVAL`] and counts the suppressed ones.
#[derive(Default)]
pub struct RateLimitedLog {
    last_logged_at: Cell<Option<Instant>>,
    /// The number of warnings suppressed since the last one that was logged.
    skipped: Cell<u64>,
}

impl RateLimitedLog {
    /// Calls `log` to write the warning, and passes it the number of warnings suppressed since the last one
    /// that was logged. Suppresses the warning and does not call `log` if [`WARNING_INTERVAL`] has not passed
    /// since then.
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
