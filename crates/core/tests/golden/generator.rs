//! Random numbers that depend only on a seed.

use std::time::Duration;

/// SplitMix64 random number generator. Its sequence does not depend on the version of any crate.
pub struct RandomGenerator(pub u64);

impl RandomGenerator {
    /// Returns a number from the whole range of `u64`.
    pub fn any_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 up to, but not including, `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.any_u64() % bound
    }

    /// Returns `true` with this probability in percent.
    pub fn bool_with_percent(&mut self, probability_percent: u64) -> bool {
        self.below(100) < probability_percent
    }

    /// Returns a duration between zero and twice `mean`, uniformly distributed.
    pub fn duration_with_mean(&mut self, mean: Duration) -> Duration {
        Duration::from_nanos(self.below(2 * mean.as_nanos() as u64 + 1))
    }
}
