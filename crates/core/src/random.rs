//! Random numbers from a seed, the only source of chance in the decisions.

use std::ops::RangeFull;

/// Least factor by which [`Random::jitter`] scales a time.
const MIN_JITTER: f64 = 0.75;
/// Width of the range of factors of [`Random::jitter`].
const JITTER_RANGE: f64 = 0.5;

/// A generator of random numbers. Equal seeds give equal numbers.
pub(crate) struct Random(fastrand::Rng);

impl Random {
    /// A generator that starts from `seed`.
    pub(crate) fn with_seed(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }

    /// A number from 0 up to, but not including, 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.0.f64()
    }

    /// A factor around 1 by which a time is scaled, so that many balancers do not act at the same moment.
    pub(crate) fn jitter(&mut self) -> f64 {
        MIN_JITTER + JITTER_RANGE * self.0.f64()
    }

    /// Any `u64`.
    pub(crate) fn any_u64(&mut self) -> u64 {
        self.0.u64(RangeFull)
    }

    /// Any `usize`.
    pub(crate) fn any_usize(&mut self) -> usize {
        self.0.usize(RangeFull)
    }

    /// Puts a slice into a random order.
    pub(crate) fn shuffle<T>(&mut self, slice: &mut [T]) {
        self.0.shuffle(slice);
    }
}

impl Default for Random {
    fn default() -> Self {
        Self::with_seed(0)
    }
}
