use masticstair_core::id::{LogIndex, ReplicaId};
use masticstair_core::message::Replica;
use thiserror::Error;

/// Why a membership change was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// This replica is not the leader.
    #[error("not the leader (leader: {})", .leader.as_ref().map_or("unknown", |r| r.host.as_str()))]
    NotLeader {
        /// The leader, if known.
        leader: Option<Replica>,
    },
    /// The leader has not committed an entry of its term yet.
    #[error("the leader has not committed an entry in its term")]
    TermNotCommitted,
    /// An earlier change, at this index, is not committed.
    #[error("the change at index {0} is not committed (one change at a time is allowed)")]
    InProgress(LogIndex),
    /// More than one voter would change.
    #[error("{0} voters would change (at most 1 is allowed)")]
    TooManyChanges(usize),
    /// The new set has no voters or more than 7.
    #[error("the set would have {0} voters (1 to 7 are allowed)")]
    VoterCount(usize),
    /// A replica is listed twice.
    #[error("replica {0} is listed twice")]
    Duplicate(ReplicaId),
    /// The new voter is not a learner that has caught up.
    #[error("replica {0} is not a learner that has caught up and synced")]
    NotCaughtUp(ReplicaId),
    /// The new set would have no reachable quorum.
    #[error("{live} voters are reachable (the new set needs {quorum})")]
    NoLiveQuorum {
        /// The number of reachable voters in the new set.
        live: usize,
        /// The quorum of the new set.
        quorum: usize,
    },
    /// The log is not empty or the term is not above the current one, so the group exists already.
    #[error("the log is not empty: the group was formed already")]
    AlreadyFormed,
}
