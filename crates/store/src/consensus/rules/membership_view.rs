use masticstair_core::id::{LogIndex, ReplicaId};
use masticstair_core::message::{Replica, VoterSet};
use std::time::Duration;

use super::MemberView;

/// The leader's view of the group, from which it plans and checks membership changes.
#[derive(Clone, Debug)]
pub(crate) struct MembershipView {
    pub(crate) leader: ReplicaId,
    /// The voters and learners in force.
    pub(crate) voter_set: VoterSet,
    /// The index of a membership change that is not committed.
    pub(crate) uncommitted_change: Option<LogIndex>,
    /// Whether the leader has committed an entry of its term.
    pub(crate) term_committed: bool,
    /// One view for every voter and learner.
    pub(crate) members: Vec<MemberView>,
    /// Announced replicas, one per host.
    pub(crate) announced: Vec<Replica>,
    /// The maximum time since the last reply for a reachable member.
    pub(crate) live_within: Duration,
    /// The time since the last reply after which a voter may be replaced.
    pub(crate) replace_after: Duration,
    /// The number of voters up to which learners are promoted.
    pub(crate) target_voters: usize,
    /// The maximum number of learners added for announced replicas.
    pub(crate) max_learners: usize,
}

impl MembershipView {
    pub(crate) fn member(&self, id: ReplicaId) -> Option<&MemberView> {
        self.members.iter().find(|m| m.replica.id == id)
    }

    /// Returns whether a member is reachable.
    pub(crate) fn is_live(&self, id: ReplicaId) -> bool {
        self.member(id).is_some_and(|m| m.since_last_reply <= self.live_within)
    }

    /// Returns whether a member is reachable and has caught up.
    pub(crate) fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.is_live(id) && self.member(id).is_some_and(|m| m.caught_up)
    }

    /// Returns whether a member has been unreachable long enough to be replaced.
    pub(crate) fn is_lost(&self, id: ReplicaId) -> bool {
        self.member(id).is_some_and(|m| m.since_last_reply > self.replace_after)
    }
}
