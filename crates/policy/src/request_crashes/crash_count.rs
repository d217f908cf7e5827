use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::SUSPICION_CRASHES;

/// The crashes of a request that are needed for a verdict if each one was sent after the one before was seen.
pub(super) const VERDICT_CRASHES: usize = 3;

/// The crashes that are needed if only two of them follow each other, because the request is sent to several endpoints at
/// once.
const CONCURRENT_VERDICT_CRASHES: usize = 5;

/// The number of crashes of a request.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct CrashCount {
    /// Crashes that follow each other: the request was sent after the one before was seen. Endpoints that had the request
    /// at the same time may have ended together for another reason.
    pub successive: usize,
    /// All crashes.
    pub all: usize,
}

impl CrashCount {
    /// Counts crashes, given by when the request was sent and when the end was seen.
    pub fn of(crashes: impl Iterator<Item = (Timestamp, Timestamp)>) -> Self {
        let mut spans: SmallVec<[(Timestamp, Timestamp); 8]> =
            crashes.map(|(sent_at, ended_at)| (ended_at, sent_at)).collect();
        spans.sort_unstable();
        let mut last_end = None;
        let is_successive = |(ended_at, sent_at): &&(Timestamp, Timestamp)| {
            let is_later = last_end.is_none_or(|end| *sent_at >= end);
            if is_later {
                last_end = Some(*ended_at);
            }
            is_later
        };
        Self { successive: spans.iter().filter(is_successive).count(), all: spans.len() }
    }

    /// Returns whether the request may be the cause.
    pub fn is_suspicious(self) -> bool {
        self.successive >= SUSPICION_CRASHES
    }

    /// Returns whether the request is the cause.
    pub fn is_verdict(self) -> bool {
        self.successive >= VERDICT_CRASHES
            || (self.successive + 1 >= VERDICT_CRASHES && self.all >= CONCURRENT_VERDICT_CRASHES)
    }
}
