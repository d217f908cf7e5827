use masticstair_core::id::{LogIndex, Term};

/// What a replica knows of its log when it checks an append.
pub(crate) struct AppendView<'a> {
    /// The index before the first entry in memory; everything up to it is committed.
    pub(crate) base: LogIndex,
    /// The last entry.
    pub(crate) last: LogIndex,
    /// The commit index.
    pub(crate) commit: LogIndex,
    /// Returns the term of an entry in memory.
    pub(crate) term_at: &'a dyn Fn(LogIndex) -> Option<Term>,
}
