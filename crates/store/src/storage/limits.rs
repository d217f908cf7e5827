//! Limits of one call and one group of calls.

/// The most bytes in one log entry. Commands carry at most a request body of 1 MiB or a bundle.
pub(crate) const MAX_ENTRY: usize = 4 << 20;

/// The most bytes in one `append`. Recovery holds a whole segment in memory, so this bounds memory too.
pub(crate) const MAX_APPEND: usize = 8 << 20;

/// The size at which a group of calls is written without waiting for more calls.
pub(crate) const GROUP_TARGET: usize = 1 << 20;
