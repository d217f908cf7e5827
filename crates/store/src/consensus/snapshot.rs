use masticstair_core::message::SnapshotMeta;

/// A snapshot in memory.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// What the snapshot stands for.
    pub(crate) meta: SnapshotMeta,
    /// The encoded state.
    pub(crate) data: Box<[u8]>,
}
