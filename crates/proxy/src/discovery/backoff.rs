//! A duration that doubles after each failure, within two bounds. It is used as a wait between watches.

use std::time::Duration;

/// A duration that grows exponentially from a minimum up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    current: Duration,
}

impl Backoff {
    /// Creates a duration that starts at `min` and grows up to `max`.
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, current: min }
    }

    /// Returns the current duration.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Doubles the current duration, up to the maximum.
    pub fn grow(&mut self) {
        self.current = (self.current * 2).min(self.max);
    }

    /// Sets the current duration back to the minimum.
    pub fn reset(&mut self) {
        self.current = self.min;
    }
}
