use masticstair_core::prelude::*;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// The last known leader, a hint that saves a search for it.
#[derive(Debug, Default)]
pub(super) struct LeaderHint {
    /// The host that last answered as the leader or was named as such by another host.
    pub(super) host: RefCell<Option<HostId>>,
    /// When the search for a leader first failed; `None` while one answers.
    pub(super) leaderless_since: Cell<Option<Instant>>,
}

impl LeaderHint {
    /// Records that `host` answered as the leader. `None` ends the leaderless period but keeps the hint.
    pub(super) fn record_leader(&self, host: Option<HostId>) {
        if host.is_some() {
            *self.host.borrow_mut() = host;
        }
        self.leaderless_since.set(None);
    }

    /// Drops the hint and starts the leaderless period, unless one is running.
    pub(super) fn record_no_leader(&self) {
        *self.host.borrow_mut() = None;
        if self.leaderless_since.get().is_none() {
            self.leaderless_since.set(Some(Instant::now()));
        }
    }
}
