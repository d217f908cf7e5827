use crate::front_end::AnswerMeta;

/// Why an attempt at an endpoint yielded no answer to forward.
#[derive(Debug)]
pub(super) enum AttemptFailure {
    NotSent(Box<str>),
    /// As `NotSent`, at once, because no process listens at the address.
    Refused(Box<str>),
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
            Self::NotSent(_) | Self::Refused(_) => "not-sent",
            Self::NotRun(..) => "not-run",
            Self::Unknown(_) => "broken",
            Self::TimedOut(_) => "silent",
        }
    }

    /// Returns whether the endpoint may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::TimedOut(_))
    }

    /// Returns whether nothing came, as opposed to a connection that broke.
    pub(super) fn is_silent(&self) -> bool {
        matches!(self, Self::TimedOut(_))
    }

    /// Returns whether the endpoint refused the connection.
    pub(super) fn is_refused(&self) -> bool {
        matches!(self, Self::Refused(_))
    }

    pub(super) fn detail(&self) -> &str {
        match self {
            Self::NotSent(d) | Self::Refused(d) | Self::NotRun(_, d) => d,
            Self::Unknown(d) | Self::TimedOut(d) => d,
        }
    }
}
