use super::WorkClass;
use masticstair_core::prelude::*;

/// One in this many slots of an account, and at least one, is reserved for its lookups.
const LOOKUP_SLOT_DIVISOR: u32 = 8;

/// Limits of an account on this host: its local share plus borrowed amounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimits {
    /// Weight in fair queueing; zero counts as 1.
    pub weight: Weight,
    /// Maximum number of running requests, of both classes.
    pub concurrency: Slots,
    /// Sustained rate at which requests may start.
    pub rate: RatePerSecond,
    /// Capacity of the token bucket: how many requests may start at once; zero counts as 1.
    pub burst: Slots,
}

impl AccountLimits {
    /// Returns the concurrency limit for `class`. Work leaves some slots free for lookups, unless the
    /// account has only one slot.
    pub(crate) fn concurrency_for(&self, class: WorkClass) -> u32 {
        let slots = self.concurrency.get();
        match class {
            WorkClass::Lookup => slots,
            WorkClass::Work if slots < 2 => slots,
            WorkClass::Work => slots - (slots / LOOKUP_SLOT_DIVISOR).max(1),
        }
    }
}
