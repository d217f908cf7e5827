use crate::id::{LogIndex, Term};

/// The answer to an `AppendRequest`, given after the entries were synced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppendReply {
    /// The term of the replica.
    pub term: Term,
    /// Whether the replica's log now matches the leader's up to the last entry sent.
    pub success: bool,
    /// On success the last matching index; otherwise the index from which to try again.
    pub match_index: LogIndex,
    /// The round of the request.
    pub round: u64,
}
