use std::time::Duration;

use crate::front_end::PieceOutcome;

/// The outcome of a call of a stage service.
pub(super) enum CallOutcome {
    /// One outcome per item.
    Answered(Vec<PieceOutcome>),
    /// Nothing was run; carries the backoff for the endpoint.
    NotRun(Duration, Box<str>),
    /// The items may have been completed.
    Lost(Box<str>),
}
