/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// May run several times.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answered by a series of events.
    Stream {
        /// Whether another endpoint may go on after the last event that was passed on. Otherwise the
        /// request runs once at most.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
