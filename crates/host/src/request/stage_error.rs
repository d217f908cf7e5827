use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason for which a stage gave no answer.
#[derive(Debug, Error)]
pub(super) enum StageError {
    /// No endpoint of the pool takes work.
    #[error("pool {0} has no endpoint that takes work")]
    NoEndpoint(PoolName),
    /// The deadline has passed.
    #[error("the deadline passed in stage {0}")]
    Deadline(StageName),
    /// Every allowed call failed, and none had an effect that must not be repeated.
    #[error("stage {0} failed: {1}")]
    Failed(StageName, Box<str>),
    /// A call that must not be repeated may have run.
    #[error("stage {0} may have run: {1}")]
    Unknown(StageName, Box<str>),
    /// The request was refused before the call that must not be repeated.
    #[error("{}", .0.detail)]
    Refused(Problem),
}

impl StageError {
    /// Describes the error to the caller; `idempotent` tells whether the whole pipeline is.
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
