use masticstair_store::consensus::Node;
use masticstair_store::replica::LocalReplica;
use std::rc::Rc;
use std::sync::Arc;

use super::leader_hint::LeaderHint;
use crate::membership::{Membership, PeerPool, RevisionSurvey};
use crate::state::HostState;

/// State shared by the tasks of the control thread.
#[derive(Clone)]
pub(super) struct ControlContext {
    pub(super) state: Arc<HostState>,
    pub(super) membership: Arc<Membership>,
    pub(super) peers: Rc<PeerPool>,
    /// The local replica; `None` on a host without a data folder.
    pub(super) replica: Option<LocalReplica>,
    pub(super) leader: Rc<LeaderHint>,
    pub(super) survey: Rc<RevisionSurvey>,
}

impl ControlContext {
    /// Returns the node of the local replica; `None` without one or while its data folder cannot be used.
    pub(super) fn node(&self) -> Option<Node> {
        self.replica.as_ref()?.node()
    }
}
