use smallvec::SmallVec;

use crate::id::ServiceName;
use crate::unit::ByteCount;

/// Work that is done before a request of a route can run. It consists of pieces, whose number the request
/// gives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PipelineStage {
    /// The service that does the work.
    pub service: ServiceName,
    /// Positions of the stages whose results it needs; all are before its own.
    pub after: SmallVec<[usize; 2]>,
    /// The approximate size of the result of a piece.
    pub result_size: ByteCount,
}
