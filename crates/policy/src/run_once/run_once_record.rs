use masticstair_core::prelude::*;

use super::{CallStatus, RecordState, RecordedAnswer};

/// The replicated record of one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunOnceRecord {
    /// The request that claimed the call; only it may finish, fail or release.
    pub request: RequestId,
    /// The time from which the retention counts: the record expires once the floor has passed it. For a key
    /// with a timestamp this is the timestamp, so that the floor refuses the key from then on.
    pub created_at: WallTime,
    /// Whether `created_at` is the timestamp of the key, so that the floor refuses the key after the record
    /// has expired. Otherwise the digest of the key must be kept.
    pub has_key_time: bool,
    /// Whether the call was claimed, ran, failed or was released.
    pub state: RecordState,
}

impl RunOnceRecord {
    /// Returns the status for a request that has the same key.
    pub fn status(&self) -> CallStatus {
        match &self.state {
            RecordState::Claimed { claimant, .. } => {
                CallStatus::Running { request: self.request, claimant: claimant.clone() }
            }
            RecordState::Unknown { .. } => CallStatus::Unknown,
            RecordState::Done { answer, .. } => CallStatus::Done(answer.clone()),
            RecordState::Failed { answer, .. } => CallStatus::Failed(answer.clone()),
            RecordState::Released => CallStatus::Released,
        }
    }

    /// Returns whether the digest of the key must be kept when the record expires.
    pub(super) fn needs_digest(&self) -> bool {
        !self.has_key_time && self.state != RecordState::Released
    }

    pub(super) fn answer_len(&self) -> u64 {
        self.state.answer().map_or(0, RecordedAnswer::kept_len)
    }
}
