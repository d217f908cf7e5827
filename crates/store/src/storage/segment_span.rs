use super::SegmentNumber;
use masticstair_core::id::LogIndex;

/// A segment and the last log entry in it. The segment can be deleted once a snapshot covers that entry and
/// all earlier segments have been deleted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentSpan {
    pub(crate) number: SegmentNumber,
    /// Index of the last entry; 0 if there is none.
    pub(crate) last: LogIndex,
}

impl SegmentSpan {
    pub(crate) fn empty(number: SegmentNumber) -> Self {
        Self { number, last: LogIndex::default() }
    }
}
