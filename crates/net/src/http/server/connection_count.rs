use masticstair_core::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::count_guard::CountGuard;

/// A shared counter with a limit: of the open connections of the process, over all workers, or of the
/// large bodies that one worker is reading.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicU32>);

impl ConnectionCount {
    /// Returns the current count. It includes attempts of `try_acquire` that are being rejected.
    pub fn open(&self) -> Slots {
        Slots::new(self.0.load(Ordering::Relaxed))
    }

    /// Increments the count, unless it has reached `limit`.
    pub(super) fn try_acquire(&self, limit: Slots) -> Option<CountGuard> {
        let before = self.0.fetch_add(1, Ordering::Relaxed);
        let counted = CountGuard(self.0.clone());
        (before < limit.get()).then_some(counted)
    }
}
