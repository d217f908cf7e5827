use masticstair_core::prelude::*;

use super::PieceFailure;

/// The outcome of one piece of a stage call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// The piece is complete; carries the handle of its result.
    Done(ResultHandle),
    /// The piece is not complete.
    Failed(PieceFailure),
}
