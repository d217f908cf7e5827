use masticstair_core::unit::ByteCount;

use super::RefusalCause;

/// What an account holds, and what it has refused since the start.
#[derive(Clone, Copy, Debug)]
pub struct MemoryCounts {
    /// What is held.
    pub held: ByteCount,
    /// The bound of it.
    pub bound: ByteCount,
    /// Refusals by cause, in the order of `RefusalCause::ALL`.
    pub refusals: [u64; RefusalCause::ALL.len()],
}
