/// Determines whether a request may be retried and whether its answer is a stream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// A request may run several times.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another endpoint can resume the stream after the last event that was forwarded.
        /// Otherwise the request runs at most once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
