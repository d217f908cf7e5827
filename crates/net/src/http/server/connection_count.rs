use masticstair_core::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::counted_connection::CountedConnection;

/// Counts the open connections of the process, over all workers; or the large bodies of one worker.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicU32>);

impl ConnectionCount {
    /// Returns how many connections are open.
    pub fn open(&self) -> Slots {
        Slots::new(self.0.load(Ordering::Relaxed))
    }

    /// Counts a connection, unless `limit` connections are open.
    pub(super) fn try_acquire(&self, limit: Slots) -> Option<CountedConnection> {
        let before = self.0.fetch_add(1, Ordering::Relaxed);
        let counted = CountedConnection(self.0.clone());
        (before < limit.get()).then_some(counted)
    }
}
