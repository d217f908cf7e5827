use super::FileOps;
use masticstair_core::unit::ByteCount;

/// Options of the storage.
pub struct StorageOptions {
    /// The file operations; those of the operating system except in tests.
    pub ops: FileOps,
    /// The size from which the log rotates to a new segment; 8 MiB by default. Recovery rewrites the last
    /// segment, so this also bounds the work at each start.
    pub segment_size: ByteCount,
    /// Maximum number of bytes of a snapshot that are written and synced before waiting appends are served;
    /// 256 KiB by default.
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
