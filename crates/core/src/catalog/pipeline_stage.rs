use smallvec::SmallVec;

use crate::id::ServiceName;
use crate::unit::ByteCount;

/// Work that must finish before a request of a route can run. It consists of pieces; the request gives
/// their number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PipelineStage {
    /// The service whose endpoints run the pieces in batches.
    pub service: ServiceName,
    /// Indices of the stages whose results it needs; all are lower than its own.
    pub after: SmallVec<[usize; 2]>,
    /// The approximate size of the result of one piece.
    pub result_size: ByteCount,
}
