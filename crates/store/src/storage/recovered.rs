use masticstair_core::id::ReplicaId;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

/// The durable state that `open` recovered from the data folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The identity of the replica that owns the folder.
    pub identity: ReplicaId,
    /// Whether nothing has ever been saved in the folder. False after a repair, because the host has been a
    /// member of a group before.
    pub is_new: bool,
    /// The last saved term and vote; the default if none was saved.
    pub hard_state: HardState,
    /// The newest snapshot with its data; `None` before the first one.
    pub snapshot: Option<(SnapshotMeta, Box<[u8]>)>,
    /// The log entries after the snapshot, with consecutive indices.
    pub entries: Vec<LogEntry>,
}
