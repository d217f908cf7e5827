use masticstair_core::id::{LogIndex, ReplicaId};
use masticstair_core::message::{Replica, VoterSet};
use std::time::Duration;

use super::MemberView;

/// What the leader knows when it proposes or checks a change of the voters.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The leader.
    pub leader: ReplicaId,
    /// The set in force.
    pub voter_set: VoterSet,
    /// A change in the log that is not committed.
    pub uncommitted_change: Option<LogIndex>,
    /// Whether the leader has committed an entry in its term.
    pub term_committed: bool,
    /// Every voter and learner of the set.
    pub members: Vec<MemberView>,
    /// Replicas that announced themselves, one for each host.
    pub announced: Vec<Replica>,
    /// A voter that answered within this time counts as reachable.
    pub live_within: Duration,
    /// A voter that is silent for longer may be replaced.
    pub replace_after: Duration,
    /// The number of voters to promote learners up to.
    pub target_voters: usize,
    /// The number of learners to add for announced replicas.
    pub max_learners: usize,
}

impl MembershipView {
    /// Returns what is known of a member.
    pub fn member(&self, id: ReplicaId) -> Option<&MemberView> {
        self.members.iter().find(|m| m.replica.id == id)
    }

    /// Tells whether a member answered lately.
    pub fn is_live(&self, id: ReplicaId) -> bool {
        self.member(id).is_some_and(|m| m.since_last_reply <= self.live_within)
    }

    /// Tells whether a reachable member has caught up.
    pub fn is_caught_up(&self, id: ReplicaId) -> bool {
        self.is_live(id) && self.member(id).is_some_and(|m| m.caught_up)
    }

    /// Tells whether a member has been silent long enough to be replaced.
    pub fn is_lost(&self, id: ReplicaId) -> bool {
        self.member(id).is_some_and(|m| m.since_last_reply > self.replace_after)
    }
}
