use std::sync::atomic::{AtomicU64, Ordering};

use masticstair_core::unit::ByteCount;

pub(super) static BYTES_READ: AtomicU64 = AtomicU64::new(0);
pub(super) static BYTES_WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Bytes on all connections between this process and its peers since the process started, without TCP and
/// IP headers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes read from all connections.
    pub read: ByteCount,
    /// Bytes written to all connections.
    pub written: ByteCount,
}

impl Traffic {
    /// Returns the current totals.
    pub fn of_process() -> Self {
        Self {
            read: ByteCount::new(BYTES_READ.load(Ordering::Relaxed)),
            written: ByteCount::new(BYTES_WRITTEN.load(Ordering::Relaxed)),
        }
    }
}
