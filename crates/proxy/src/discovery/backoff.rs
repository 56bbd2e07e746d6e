//! A duration that doubles with each failure, within two bounds; used as a wait and as a timeout.

use std::time::Duration;

/// An exponentially growing duration.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    current: Duration,
}

impl Backoff {
    /// A duration that begins at `min` and grows up to `max`.
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, current: min }
    }

    /// The current duration.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Doubles the current duration, up to the maximum.
    pub fn grow(&mut self) {
        self.current = (self.current * 2).min(self.max);
    }

    /// Returns to the minimum.
    pub fn reset(&mut self) {
        self.current = self.min;
    }
}
