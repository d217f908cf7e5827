use std::time::Duration;

use super::call_loss::CallLoss;
use crate::front_end::PieceOutcome;

/// The outcome of a call to an endpoint of a stage service.
pub(super) enum CallOutcome {
    /// One outcome per item.
    Answered(Vec<PieceOutcome>),
    /// One outcome per item, all of them failures, from an answer that may be to another call.
    Unidentified(Vec<PieceOutcome>),
    /// Nothing was run; carries the backoff of the endpoint and the reason.
    NotRun(Duration, Box<str>),
    /// The items may have been completed; carries the reason.
    Lost(CallLoss, Box<str>),
}
