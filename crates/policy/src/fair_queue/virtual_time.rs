use super::Cost;
use masticstair_core::prelude::*;

/// Fractional bits of virtual time, so that a division by a weight keeps its precision.
const FRACTION_BITS: u32 = 20;

/// A point in virtual time: cost divided by weight. 128 bits do not overflow in the life of a host.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct VirtualTime(u128);

impl VirtualTime {
    /// Returns the tag after work of `cost` for an account of `weight`.
    pub(crate) fn after(self, cost: Cost, weight: Weight) -> Self {
        let cost = u128::from(cost.get().max(1)) << FRACTION_BITS;
        Self(self.0 + cost / u128::from(weight.get().max(1)))
    }
}
