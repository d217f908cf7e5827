use masticstair_core::prelude::*;

/// Number of endpoints and ejected endpoints of a pool, which bounds ejections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolHealth {
    /// Endpoints of the pool that are not leaving, including this one.
    pub members: Slots,
    /// Endpoints among `members` that are ejected, including those being probed.
    pub ejected: Slots,
}

impl PoolHealth {
    /// Returns whether one more endpoint may be ejected; at most half of a pool may be.
    pub fn may_eject(&self) -> bool {
        u64::from(self.ejected.get() + 1) * 2 <= u64::from(self.members.get())
    }
}
