use masticstair_core::id::ReplicaId;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

/// What `open` found in the data folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The identity of the folder.
    pub identity: ReplicaId,
    /// Whether nothing was ever saved in the folder. False after a repair, because the host then took part
    /// in a group before.
    pub is_new: bool,
    /// The last hard state.
    pub hard_state: HardState,
    /// The current snapshot.
    pub snapshot: Option<(SnapshotMeta, Box<[u8]>)>,
    /// The log entries after the snapshot; consecutive.
    pub entries: Vec<LogEntry>,
}
