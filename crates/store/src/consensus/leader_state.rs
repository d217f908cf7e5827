use masticstair_core::id::{LogIndex, ReplicaId};
use std::collections::BTreeMap;

use super::progress::Progress;

/// What a leader keeps for its term.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    /// The no-op entry at the start of the term.
    pub(crate) term_start_index: LogIndex,
    /// The last heartbeat round begun.
    pub(crate) round: u64,
    /// Every other voter and learner.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// The size of the entries that are not committed.
    pub(crate) uncommitted_bytes: u64,
    /// Proposals are refused while a transfer is in progress.
    pub(crate) transferring: bool,
}
