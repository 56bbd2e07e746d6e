//! Random numbers that depend on a seed alone.

use std::time::Duration;

/// Numbers from a seed (SplitMix64), independent of any crate's version.
pub struct Generator(pub u64);

impl Generator {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn percent(&mut self, chance: u64) -> bool {
        self.below(100) < chance
    }

    /// A time between nothing and twice `mean`.
    pub fn around(&mut self, mean: Duration) -> Duration {
        Duration::from_nanos(self.below(2 * mean.as_nanos() as u64 + 1))
    }
}
