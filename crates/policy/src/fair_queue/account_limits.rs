use super::WorkClass;
use masticstair_core::prelude::*;

/// One in this many slots of an account, and at least one, is kept for its lookups.
const LOOKUP_SLOT_DIVISOR: u32 = 8;

/// The limits of an account on this host: its own part and what it has borrowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimits {
    /// The share in fair queueing; zero counts as 1.
    pub weight: Weight,
    /// How many requests may run at the same time.
    pub concurrency: Slots,
    /// The rate at which requests start in the long run.
    pub rate: RatePerSecond,
    /// How many requests may start at once above the rate; zero counts as 1.
    pub burst: Slots,
}

impl AccountLimits {
    /// Returns how many requests may run before one more of `class` starts. Other work leaves slots
    /// for lookups, unless there is only one.
    pub(crate) fn concurrency_for(&self, class: WorkClass) -> u32 {
        let slots = self.concurrency.get();
        match class {
            WorkClass::Lookup => slots,
            WorkClass::Work if slots < 2 => slots,
            WorkClass::Work => slots - (slots / LOOKUP_SLOT_DIVISOR).max(1),
        }
    }
}
