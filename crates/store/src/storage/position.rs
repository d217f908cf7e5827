use masticstair_core::id::{LogIndex, Term};

/// The index and term of a log entry. Index 0 is the position before the first entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Position {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
}
