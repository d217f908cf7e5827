use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

/// What storage held when the process started.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The last term and vote that were synced.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Option<(SnapshotMeta, Box<[u8]>)>,
    /// The log after the snapshot; entries that the snapshot contains are allowed.
    pub entries: Vec<LogEntry>,
}
