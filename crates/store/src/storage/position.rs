use masticstair_core::id::{LogIndex, Term};

/// An index of the log together with the term of its entry; index 0 stands before the first entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Position {
    /// The index.
    pub(crate) index: LogIndex,
    /// The term of the entry at that index.
    pub(crate) term: Term,
}
