use crate::front_end::AnswerMeta;

/// How an attempt at an endpoint ended before an answer that is passed on.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The endpoint states that it did not run the request.
    NotRun(AnswerMeta, Box<str>),
    /// The request may have run.
    Unknown(Box<str>),
    /// As `Unknown`, because no answer came in time.
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
