use masticstair_core::id::{LogIndex, ReplicaId};
use std::collections::BTreeMap;

use super::progress::Progress;

/// The state that a leader keeps for its term.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    /// The index of the no-op entry that starts the term.
    pub(crate) term_start_index: LogIndex,
    /// The number of the latest heartbeat round; each read starts a new round.
    pub(crate) round: u64,
    /// The replication progress of every other voter and learner.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) uncommitted_bytes: u64,
    /// Whether a leadership transfer is in progress; proposals are refused meanwhile.
    pub(crate) transferring: bool,
}
