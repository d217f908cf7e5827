use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::Replica;

use super::{MemberStatus, Role, StorageFault};

/// The state of a node for status pages and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeStatus {
    /// This replica.
    pub local_replica: Replica,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader of the term, when known.
    pub leader: Option<Replica>,
    /// The last entry of its log.
    pub last_index: LogIndex,
    /// The commit index.
    pub commit_index: LogIndex,
    /// The last entry that its replicated state contains.
    pub applied_index: LogIndex,
    /// The last entry that its snapshot contains; 0 without a snapshot.
    pub snapshot_index: LogIndex,
    /// The voters and learners of the set in force.
    pub members: Vec<MemberStatus>,
    /// Whether the set in force is committed; until then a change is in progress.
    pub members_committed: bool,
    /// The fault that made it stop acknowledging.
    pub fault: Option<StorageFault>,
}
