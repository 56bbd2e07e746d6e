//! A time span that doubles with each failure, between two bounds.

use std::time::Duration;

/// The span and its bounds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    current: Duration,
}

impl Backoff {
    /// One that begins at `least` and grows up to `most`.
    pub const fn new(least: Duration, most: Duration) -> Self {
        Self { least, most, current: least }
    }

    /// The span as it stands.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Doubles the span.
    pub fn grow(&mut self) {
        self.current = (self.current * 2).min(self.most);
    }

    /// Begins anew at the least span.
    pub fn reset(&mut self) {
        self.current = self.least;
    }
}
