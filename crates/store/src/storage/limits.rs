//! Size limits of calls and batches.

/// Maximum size of the payload of a log entry. The largest commands contain a bundle of up to 16 MiB.
pub(crate) const MAX_ENTRY_BYTES: usize = 18 << 20;

/// Maximum encoded size of the entries of one `append`. It also bounds memory, because recovery reads a
/// whole segment into memory.
pub(crate) const MAX_APPEND_BYTES: usize = 20 << 20;

/// Batch size from which a commit group takes no further calls.
pub(crate) const GROUP_COMMIT_TARGET_BYTES: usize = 1 << 20;
