/// The crashes of a request that are needed for a verdict if each one was sent after the one before was seen.
pub(super) const VERDICT_CRASHES: usize = 3;

/// The crashes that are needed if only two of them follow each other, because the request is sent to several endpoints at
/// once.
const CONCURRENT_VERDICT_CRASHES: usize = 5;

/// The number of crashes of a request.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct CrashCount {
    /// Crashes that follow each other: the request was sent after the one before was seen. Endpoints that had the request
    /// at the same time may have ended together for another reason.
    pub(super) successive: usize,
    /// All crashes.
    pub(super) all: usize,
}

impl CrashCount {
    /// Returns whether the request is the cause.
    pub(super) fn is_verdict(self) -> bool {
        self.successive >= VERDICT_CRASHES
            || (self.successive + 1 >= VERDICT_CRASHES && self.all >= CONCURRENT_VERDICT_CRASHES)
    }
}
