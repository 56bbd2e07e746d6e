//! Time as the decisions compute with it: seconds in floating point on the embedder's clock.

use std::cmp::Ordering;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Time between two ticks: short against usual latency objectives, long against the cost of one pass over the
/// upstreams.
pub(crate) const TICK_SECONDS: f64 = 0.025;

/// A point on the embedder's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Timestamp(f64);

impl Timestamp {
    /// The start of the clock. The default of times that have never been set; where "never" must count as
    /// infinitely long ago, they are [`Timestamp::DISTANT_PAST`].
    pub(crate) const ZERO: Self = Self(0.0);
    /// Before every other point.
    pub(crate) const DISTANT_PAST: Self = Self(f64::NEG_INFINITY);
    /// After every other point.
    pub(crate) const DISTANT_FUTURE: Self = Self(f64::INFINITY);

    /// The point that the embedder's clock shows after this duration.
    pub(crate) fn from_duration(duration: Duration) -> Self {
        Self(duration.as_secs_f64())
    }

    /// The earlier of two points.
    pub(crate) fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// A total order, for sorting.
    pub(crate) fn total_cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Add<f64> for Timestamp {
    type Output = Self;

    /// The point so many seconds later.
    fn add(self, seconds: f64) -> Self {
        Self(self.0 + seconds)
    }
}

impl Sub for Timestamp {
    type Output = f64;

    /// The seconds from `earlier` to this point.
    fn sub(self, earlier: Self) -> f64 {
        self.0 - earlier.0
    }
}
