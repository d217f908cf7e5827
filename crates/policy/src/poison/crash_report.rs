use masticstair_core::prelude::*;

use super::{CallProgress, CrashKey, PromptParts};

/// A request without an event at the time when its engine ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The service of the request.
    pub service: ServiceName,
    /// The end of the engine.
    pub crash: CrashKey,
    /// How far the engine had come.
    pub progress: CallProgress,
    /// The shared parts of the prompt; not empty.
    pub parts: PromptParts,
    /// When the engine ended.
    pub at: Timestamp,
}

impl CrashReport {
    /// Returns whether two reports are of the same crash and the same parts.
    pub(super) fn has_same_subject(&self, other: &Self) -> bool {
        self.crash == other.crash && self.service == other.service && self.parts == other.parts
    }
}
