use crate::id::{LogIndex, Term};

/// The reply to an `AppendRequest`, sent after the entries were synced to disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppendReply {
    /// The term of the replica.
    pub term: Term,
    /// Whether the replica's log now matches the leader's up to the last entry sent.
    pub success: bool,
    /// On success the last matching index, otherwise the index from which the leader retries.
    pub match_index: LogIndex,
    /// Copied from the request.
    pub round: u64,
}
