use super::{BatchNumber, SegmentNumber};

/// The last segment of the log, as found by recovery.
pub(crate) struct LastSegment {
    pub(crate) number: SegmentNumber,
    /// The contents without a torn tail.
    pub(crate) bytes: Vec<u8>,
    /// Number of the next batch to write.
    pub(crate) next_batch: BatchNumber,
}
