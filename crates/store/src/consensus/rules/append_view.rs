use masticstair_core::id::{LogIndex, Term};

/// What a replica knows of its log when it checks an append.
pub(crate) struct AppendView<'a> {
    /// The index before the first entry in memory; everything up to it is committed.
    pub(crate) base_index: LogIndex,
    /// The last entry.
    pub(crate) last_index: LogIndex,
    /// The commit index.
    pub(crate) commit_index: LogIndex,
    /// Returns the term of an entry in memory.
    pub(crate) term_at: &'a dyn Fn(LogIndex) -> Option<Term>,
}
