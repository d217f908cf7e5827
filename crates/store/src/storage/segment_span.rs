use super::SegmentNumber;
use masticstair_core::id::LogIndex;

/// A segment with the last log entry in it that is still valid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentSpan {
    /// The segment.
    pub(crate) number: SegmentNumber,
    /// The last valid entry; 0 when there is none.
    pub(crate) last: LogIndex,
}

impl SegmentSpan {
    /// Records that the entries from `from` on are void.
    pub(crate) fn cut(&mut self, from: LogIndex) {
        self.last = self.last.min(LogIndex::new(from.get().saturating_sub(1)));
    }
}
