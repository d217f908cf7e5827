use std::sync::atomic::{AtomicU64, Ordering};

use masticstair_core::unit::ByteCount;

pub(super) static BYTES_READ: AtomicU64 = AtomicU64::new(0);
pub(super) static BYTES_WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Bytes of all connections between this process and its peers since the start, without the headers of TCP
/// and IP.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes received.
    pub read: ByteCount,
    /// Bytes sent.
    pub written: ByteCount,
}

impl Traffic {
    /// Returns the counts as of now.
    pub fn of_process() -> Self {
        Self {
            read: ByteCount::new(BYTES_READ.load(Ordering::Relaxed)),
            written: ByteCount::new(BYTES_WRITTEN.load(Ordering::Relaxed)),
        }
    }
}
