use masticstair_core::prelude::*;

use super::PieceFailure;

/// What became of a piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PieceOutcome {
    /// Its result.
    Made(ResultHandle),
    /// It was not made.
    Failed(PieceFailure),
}
