//! Seeded random numbers, the only source of randomness in the balancer's decisions.

use std::ops::RangeFull;

/// Minimum factor that [`Random::jitter_factor`] returns.
const MIN_JITTER: f64 = 0.75;
/// Width of the range of factors that [`Random::jitter_factor`] returns.
const JITTER_RANGE: f64 = 0.5;

/// Random number generator. Equal seeds produce equal sequences.
pub(crate) struct Random(fastrand::Rng);

impl Random {
    /// Creates a generator from a seed.
    pub(crate) fn with_seed(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.0.f64()
    }

    /// Returns a factor around 1 by which to scale a time, so that many balancers do not act at the same
    /// moment.
    pub(crate) fn jitter_factor(&mut self) -> f64 {
        MIN_JITTER + JITTER_RANGE * self.0.f64()
    }

    /// Returns a number from the whole range of `u64`.
    pub(crate) fn any_u64(&mut self) -> u64 {
        self.0.u64(RangeFull)
    }

    /// Returns a number from the whole range of `usize`.
    pub(crate) fn any_usize(&mut self) -> usize {
        self.0.usize(RangeFull)
    }

    /// Shuffles a slice in place.
    pub(crate) fn shuffle<T>(&mut self, slice: &mut [T]) {
        self.0.shuffle(slice);
    }
}

impl Default for Random {
    fn default() -> Self {
        Self::with_seed(0)
    }
}
