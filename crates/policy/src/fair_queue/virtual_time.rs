use super::Cost;
use masticstair_core::prelude::*;

/// Number of fractional bits, which keep the precision of a division by a weight.
const FRACTION_BITS: u32 = 20;

/// Virtual time of start-time fair queueing (start and finish tags): cost divided by weight. 128 bits
/// can't overflow in the lifetime of a host.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct VirtualTime(u128);

impl VirtualTime {
    /// Returns the finish tag of a request of `cost` that starts at this tag, for an account of
    /// `weight`.
    pub(crate) fn after(self, cost: Cost, weight: Weight) -> Self {
        let cost = u128::from(cost.get().max(1)) << FRACTION_BITS;
        Self(self.0 + cost / u128::from(weight.get().max(1)))
    }
}
