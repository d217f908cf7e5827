use super::FileOps;
use masticstair_core::unit::ByteCount;

/// How the storage writes.
pub struct StorageOptions {
    /// The file operations.
    pub ops: FileOps,
    /// The size at which a new segment of the log is begun. The last segment is rewritten at every start,
    /// so this bounds that work too.
    pub segment_size: ByteCount,
    /// The most bytes of a snapshot that are written and synced before waiting appends get their turn.
    pub snapshot_chunk_size: ByteCount,
}

impl Default for StorageOptions {
    fn default() -> Self {
        Self {
            ops: FileOps::system(),
            segment_size: ByteCount::new(8 << 20),
            snapshot_chunk_size: ByteCount::new(256 << 10),
        }
    }
}
