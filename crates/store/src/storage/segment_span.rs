use super::SegmentNumber;
use masticstair_core::id::LogIndex;

/// A segment with the last log entry in it. The segment can be deleted once a snapshot covers that entry and
/// all earlier segments are deleted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentSpan {
    /// The segment.
    pub(crate) number: SegmentNumber,
    /// The last entry; 0 when there is none.
    pub(crate) last: LogIndex,
}

impl SegmentSpan {
    /// Makes the span of a segment without entries.
    pub(crate) fn empty(number: SegmentNumber) -> Self {
        Self { number, last: LogIndex::default() }
    }
}
