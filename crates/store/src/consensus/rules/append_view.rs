use masticstair_core::id::{LogIndex, Term};

/// The log of a replica as `check_append` needs it.
pub(crate) struct AppendView<'a> {
    /// The index before the first entry in memory; everything up to it is committed.
    pub(crate) base_index: LogIndex,
    pub(crate) last_index: LogIndex,
    pub(crate) commit_index: LogIndex,
    /// Returns the term of an entry, or `None` if it is not in memory.
    pub(crate) term_at: &'a dyn Fn(LogIndex) -> Option<Term>,
}
