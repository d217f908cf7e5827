use masticstair_core::id::LogIndex;

/// The entry that forms a group; a candidate of the first election has no other one.
const FORMATION: LogIndex = LogIndex::new(1);

/// Tells whether a replica may grant votes at all.
///
/// A candidate asks the hosts of its voters. A host that lost its disk answers as another replica, which holds
/// nothing of what its predecessor acknowledged: with its vote a candidate could win that lacks committed
/// entries. So a replica without entries votes only in the first election of a group.
pub(crate) fn may_vote(own_last: LogIndex, candidate_last: LogIndex) -> bool {
    own_last > LogIndex::default() || candidate_last <= FORMATION
}
