use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::VoterSet;

use super::quorum_index;

/// Returns the new commit index of a leader, or `None` if it does not advance.
///
/// Only entries of the leader's current term are committed by counting replicas: an entry of an earlier
/// term that a quorum holds can still be overwritten by a later leader.
pub(crate) fn new_commit_index(
    set: &VoterSet,
    term: Term,
    commit: LogIndex,
    match_index: impl Fn(ReplicaId) -> LogIndex,
    term_at: impl Fn(LogIndex) -> Option<Term>,
) -> Option<LogIndex> {
    let reached = quorum_index(set, match_index);
    (reached > commit && term_at(reached) == Some(term)).then_some(reached)
}
