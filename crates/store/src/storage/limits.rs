//! Limits of one call and one group of calls.

/// The most bytes in one log entry. Commands carry at most a bundle of 16 MiB.
pub(crate) const MAX_ENTRY_BYTES: usize = 18 << 20;

/// The most bytes in one `append`. Recovery holds a whole segment in memory, so this bounds memory too.
pub(crate) const MAX_APPEND_BYTES: usize = 20 << 20;

/// The size at which a group of calls is written without waiting for more calls.
pub(crate) const GROUP_COMMIT_TARGET_BYTES: usize = 1 << 20;
