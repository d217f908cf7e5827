use masticstair_core::prelude::*;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// What is known of the leader without asking.
#[derive(Debug, Default)]
pub(super) struct LeaderHint {
    /// The host that answered last, or that another host named.
    pub(super) host: RefCell<Option<HostId>>,
    /// Since when no host answered as the leader.
    pub(super) leaderless_since: Cell<Option<Instant>>,
}

impl LeaderHint {
    pub(super) fn record_leader(&self, host: Option<HostId>) {
        if host.is_some() {
            *self.host.borrow_mut() = host;
        }
        self.leaderless_since.set(None);
    }

    pub(super) fn record_no_leader(&self) {
        *self.host.borrow_mut() = None;
        if self.leaderless_since.get().is_none() {
            self.leaderless_since.set(Some(Instant::now()));
        }
    }
}
