use super::{BatchNumber, SegmentNumber};

/// The last segment of the log as it was read.
pub(crate) struct LastSegment {
    /// Its number.
    pub(crate) number: SegmentNumber,
    /// Its valid part.
    pub(crate) bytes: Vec<u8>,
    /// The batch that follows.
    pub(crate) next_batch: BatchNumber,
}
