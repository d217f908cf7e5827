use std::time::Duration;

use crate::front_end::PieceOutcome;

/// How a call of a stage service ended.
pub(super) enum CallOutcome {
    /// An outcome for each item.
    Answered(Vec<PieceOutcome>),
    /// Nothing was run; the endpoint is left alone for a while.
    NotRun(Duration, Box<str>),
    /// The items may have been made.
    Lost(Box<str>),
}
