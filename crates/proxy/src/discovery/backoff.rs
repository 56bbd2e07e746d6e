//! A time that doubles with each failure, between two bounds.

use std::time::Duration;

/// The present time and its bounds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    current: Duration,
}

impl Backoff {
    /// A backoff that begins at `min` and grows up to `max`.
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, current: min }
    }

    /// The present time.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Doubles the time, up to the maximum.
    pub fn grow(&mut self) {
        self.current = (self.current * 2).min(self.max);
    }

    /// Begins again at the minimum.
    pub fn reset(&mut self) {
        self.current = self.min;
    }
}
