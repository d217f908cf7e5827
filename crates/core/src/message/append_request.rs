use super::LogEntry;
use crate::id::{LogIndex, ReplicaId, Term};

/// Entries, or a heartbeat when there are none, from the leader to a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct AppendRequest {
    /// The term of the leader.
    pub term: Term,
    /// The leader.
    pub leader: ReplicaId,
    /// The entry before the first of `entries`; 0 when there is none.
    pub prev_index: LogIndex,
    /// The term of that entry.
    pub prev_term: Term,
    /// Consecutive entries that follow `prev_index`.
    pub entries: Vec<LogEntry>,
    /// The highest index that the leader knows to be committed.
    pub commit: LogIndex,
    /// Number of the heartbeat round; a read is answered after a round that began after it.
    pub round: u64,
}
