use crate::front_end::AnswerMeta;

/// Why an attempt at an endpoint yielded no answer to forward.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    NotSent(Box<str>),
    /// The endpoint states that it did not run the request.
    NotRun(AnswerMeta, Box<str>),
    /// The request may have run.
    Unknown(Box<str>),
    /// As `Unknown`, because the timeout passed.
    TimedOut(Box<str>),
}

impl AttemptFailure {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::NotRun(..) => "not-run",
            Self::Unknown(_) => "broken",
            Self::TimedOut(_) => "silent",
        }
    }

    pub(super) fn detail(&self) -> &str {
        match self {
            Self::NotSent(d) | Self::NotRun(_, d) | Self::Unknown(d) | Self::TimedOut(d) => d,
        }
    }
}
