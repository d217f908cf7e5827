use masticstair_store::consensus::Node;
use std::rc::Rc;
use std::sync::Arc;

use super::leader_hint::LeaderHint;
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
