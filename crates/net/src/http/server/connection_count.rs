use masticstair_core::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::count_guard::CountGuard;

/// A shared counter with a limit: of the open connections of the process, over all workers, or of the
/// large bodies that one worker is reading.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount {
    open: Arc<AtomicU32>,
    /// The open connections on which a head has arrived; at most `open`.
    used: Arc<AtomicU32>,
}

impl ConnectionCount {
    /// Returns the current count. It includes attempts of `try_acquire` that are being rejected.
    pub fn open(&self) -> Slots {
        Slots::new(self.open.load(Ordering::Relaxed))
    }

    /// Returns the open connections on which a request has begun. After the server was asked to stop, these are the
    /// ones whose last answer has not been sent whole: the others close at once.
    pub fn used(&self) -> Slots {
        Slots::new(self.used.load(Ordering::Relaxed))
    }

    /// Counts a connection as used.
    pub(super) fn count_used(&self) -> CountGuard {
        self.used.fetch_add(1, Ordering::Relaxed);
        CountGuard(self.used.clone())
    }

    /// Increments the count, unless it has reached `limit`.
    pub(super) fn try_acquire(&self, limit: Slots) -> Option<CountGuard> {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let counted = CountGuard(self.open.clone());
        (before < limit.get()).then_some(counted)
    }
}
