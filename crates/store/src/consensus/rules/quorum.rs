use masticstair_core::id::{LogIndex, ReplicaId};
use masticstair_core::message::VoterSet;
use smallvec::SmallVec;

/// Returns whether the voters that satisfy `counts` form a quorum. An empty set has no quorum.
pub(crate) fn has_quorum(set: &VoterSet, counts: impl Fn(ReplicaId) -> bool) -> bool {
    let count = set.voters.iter().filter(|r| counts(r.id)).count();
    !set.voters.is_empty() && count >= set.quorum()
}

/// Returns the highest index that a quorum of the voters has reached, 0 for an empty set.
pub(crate) fn quorum_index(
    set: &VoterSet,
    match_index: impl Fn(ReplicaId) -> LogIndex,
) -> LogIndex {
    let mut indexes: SmallVec<[LogIndex; 7]> =
        set.voters.iter().map(|r| match_index(r.id)).collect();
    indexes.sort_unstable_by(|a, b| b.cmp(a));
    indexes.get(set.quorum() - 1).copied().unwrap_or_default()
}
