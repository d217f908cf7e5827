use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

/// The state read from storage when the process starts.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// The last synced term and vote.
    pub hard_state: HardState,
    /// The last synced snapshot and its data.
    pub snapshot: Option<(SnapshotMeta, Box<[u8]>)>,
    /// The log entries in order. Entries that the snapshot contains may be present; they are skipped.
    pub entries: Vec<LogEntry>,
}
