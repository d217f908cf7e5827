use super::LogEntry;
use crate::id::{LogIndex, ReplicaId, Term};

/// Log entries from the leader to a replica; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq)]
pub struct AppendRequest {
    /// The term of the leader.
    pub term: Term,
    /// The replica that sends the request.
    pub leader: ReplicaId,
    /// The index of the entry before the first of `entries`; 0 if there is none.
    pub prev_index: LogIndex,
    /// The term of that entry.
    pub prev_term: Term,
    /// Consecutive entries that follow `prev_index`.
    pub entries: Vec<LogEntry>,
    /// The highest index that the leader knows to be committed.
    pub commit: LogIndex,
    /// The number of the heartbeat round. A read is answered after a round that began after the read.
    pub round: u64,
}
