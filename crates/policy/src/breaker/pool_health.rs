use masticstair_core::prelude::*;

/// The other breakers of the pool, as one breaker needs them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolHealth {
    /// The endpoints of the pool that are not leaving, with this one.
    pub members: Slots,
    /// Those of them that are ejected or probed now.
    pub ejected: Slots,
}

impl PoolHealth {
    /// Tells whether one more endpoint may be ejected: at most half of a pool is.
    pub fn may_eject(&self) -> bool {
        u64::from(self.ejected.get() + 1) * 2 <= u64::from(self.members.get())
    }
}
