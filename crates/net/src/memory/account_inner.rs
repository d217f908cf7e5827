use masticstair_policy::memory_account::{HeldMemory, HolderNumber, MemoryBounds};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

use super::{Holder, RefusalCause};

/// What all handles of an account share.
#[derive(Debug)]
pub(super) struct AccountInner {
    pub(super) bounds: MemoryBounds,
    pub(super) held: Mutex<HeldMemory>,
    /// The open connections. Locked only to open or close one, and to choose one that gives way.
    pub(super) holders: Mutex<HashMap<HolderNumber, Arc<Holder>>>,
    pub(super) last_number: AtomicU64,
    /// When a connection was last sought that gives way, in microseconds since `started`.
    pub(super) last_search: AtomicU64,
    pub(super) refusals: [AtomicU64; RefusalCause::ALL.len()],
    pub(super) started: Instant,
}
