use masticstair_core::prelude::*;
use thiserror::Error;

/// Why a stage gave no answer.
#[derive(Debug, Error)]
pub(super) enum StageError {
    /// No endpoint of the pool can be chosen.
    #[error("pool {0} has no endpoint that takes work")]
    NoEndpoint(PoolName),
    /// The deadline passed, or the stage cannot complete before it.
    #[error("the deadline passed in stage {0}")]
    Deadline(StageName),
    /// All allowed calls failed, and none of them had an effect that must not be repeated.
    #[error("stage {0} failed: {1}")]
    Failed(StageName, Box<str>),
    /// A call that is not idempotent may have run.
    #[error("stage {0} may have run: {1}")]
    Unknown(StageName, Box<str>),
    /// The request was refused without sending a call of this stage.
    #[error("{}", .0.detail)]
    Refused(Problem),
}

impl StageError {
    /// Converts the error to a problem document. If all stages of the pipeline are `idempotent`, the
    /// document says when the caller may retry the request.
    pub(super) fn into_problem(self, idempotent: bool) -> Problem {
        let detail = self.to_string();
        let problem = match self {
            Self::NoEndpoint(_) => Problem::failed(503, "no-endpoint", detail),
            Self::Deadline(_) => Problem::failed(504, "deadline-exceeded", detail),
            Self::Failed(..) => Problem::failed(502, "stage-failed", detail),
            Self::Unknown(..) => return Problem::unknown(502, "outcome-unknown", detail),
            Self::Refused(problem) => return problem,
        };
        if idempotent { problem.with_retry_after(1) } else { problem }
    }
}
