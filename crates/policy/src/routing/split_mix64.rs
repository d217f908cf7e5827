use masticstair_core::prelude::*;

/// The increment of SplitMix64 (Steele, Lea, Flood 2014): 2^64 divided by the golden ratio, odd.
const INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;

/// SplitMix64 generator, which derives several random numbers from one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator with `draw` as the seed.
    pub(crate) const fn new(draw: Draw) -> Self {
        Self(draw.get())
    }

    /// Returns the next random number.
    pub(crate) const fn next(&mut self) -> Draw {
        self.0 = self.0.wrapping_add(INCREMENT);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        Draw::new(x ^ (x >> 31))
    }
}
