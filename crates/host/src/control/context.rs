use masticstair_core::prelude::*;
use masticstair_store::consensus::Node;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use crate::membership::{Membership, PeerPool, RevisionSurvey};
use crate::state::HostState;

/// What the tasks of the control thread share.
#[derive(Clone)]
pub(super) struct ControlContext {
    pub(super) state: Arc<HostState>,
    pub(super) membership: Arc<Membership>,
    pub(super) peers: Rc<PeerPool>,
    /// The replica of this host, when it has a data folder.
    pub(super) node: Option<Node>,
    pub(super) leader: Rc<LeaderHint>,
    /// Asks the other hosts for their revisions.
    pub(super) survey: Rc<RevisionSurvey>,
}

/// What is known of the leader without asking.
#[derive(Debug, Default)]
pub(super) struct LeaderHint {
    /// The host that answered last, or that another host named.
    pub(super) host: RefCell<Option<HostId>>,
    /// Since when no host answered as the leader.
    pub(super) missing_since: Cell<Option<Instant>>,
}

impl LeaderHint {
    pub(super) fn found(&self, host: Option<HostId>) {
        if host.is_some() {
            *self.host.borrow_mut() = host;
        }
        self.missing_since.set(None);
    }

    pub(super) fn lost(&self) {
        *self.host.borrow_mut() = None;
        if self.missing_since.get().is_none() {
            self.missing_since.set(Some(Instant::now()));
        }
    }
}
