use masticstair_core::message::SnapshotMeta;

/// A snapshot in memory.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub(crate) meta: SnapshotMeta,
    /// The encoded state machine.
    pub(crate) data: Box<[u8]>,
}
