//! Points in time on the embedder's clock, as floating-point seconds.

use std::cmp::Ordering;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Time between two ticks. It is short compared with usual latency objectives, and long compared with the
/// time that one pass over the upstreams takes.
pub(crate) const TICK_SECONDS: f64 = 0.025;

/// Point in time on the embedder's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Timestamp(f64);

impl Timestamp {
    /// Start of the embedder's clock, and the default of a time that has not been set. A time that must count
    /// as infinitely long ago until it is set starts as [`Timestamp::DISTANT_PAST`] instead.
    pub(crate) const ZERO: Self = Self(0.0);
    /// Point in time before all others.
    pub(crate) const DISTANT_PAST: Self = Self(f64::NEG_INFINITY);
    /// Point in time after all others.
    pub(crate) const DISTANT_FUTURE: Self = Self(f64::INFINITY);

    /// Returns the point in time at which the embedder's clock shows this duration since its start.
    pub(crate) fn from_duration(duration: Duration) -> Self {
        Self(duration.as_secs_f64())
    }

    /// Returns the earlier of two points in time.
    pub(crate) fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns the later of two points in time.
    pub(crate) fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }

    /// Compares two points in time by a total order, which sorting requires.
    pub(crate) fn total_cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Add<f64> for Timestamp {
    type Output = Self;

    /// Returns the point in time that is `seconds` later.
    fn add(self, seconds: f64) -> Self {
        Self(self.0 + seconds)
    }
}

impl Sub for Timestamp {
    type Output = f64;

    /// Returns the seconds from `earlier` to this point in time; negative if `earlier` is later.
    fn sub(self, earlier: Self) -> f64 {
        self.0 - earlier.0
    }
}
