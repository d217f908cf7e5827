use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::Replica;

use super::{MemberStatus, ReplicaFault, Role};

/// A copy of a node's state for status pages and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeStatus {
    /// The replica that reports this status.
    pub local_replica: Replica,
    /// The role in `term`.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader of the term, if known and a member in force.
    pub leader: Option<Replica>,
    /// The index of the last log entry, committed or not.
    pub last_index: LogIndex,
    /// The highest index known to be committed.
    pub commit_index: LogIndex,
    /// The index of the last entry applied to the state machine; at most `commit_index`.
    pub applied_index: LogIndex,
    /// The last index that the snapshot contains; 0 without a snapshot.
    pub snapshot_index: LogIndex,
    /// The voters and learners in force.
    pub members: Vec<MemberStatus>,
    /// Whether the members in force are committed; false while a membership change is in progress.
    pub members_committed: bool,
    /// The fault after which the node stopped acknowledging; `None` while it works.
    pub fault: Option<ReplicaFault>,
}
