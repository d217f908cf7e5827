use masticstair_core::prelude::*;

use super::{CallStatus, RecordState, RecordedAnswer};

/// The record of one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunOnceRecord {
    /// The request that claimed the call; only it may finish, fail or release.
    pub request: RequestId,
    /// The record may go once the floor has passed this time. For a timed key this is the time in the
    /// key, so that the floor refuses the key from then on.
    pub created_at: WallTime,
    /// Whether the floor protects the key after the record is gone. Otherwise its digest must stay.
    pub has_key_time: bool,
    /// How far the call came.
    pub state: RecordState,
}

impl RunOnceRecord {
    /// Describes the record for a request that finds it.
    pub fn found(&self) -> CallStatus {
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

    /// Tells whether the digest of the key must stay when the record expires.
    pub(super) fn needs_digest(&self) -> bool {
        !self.has_key_time && self.state != RecordState::Released
    }

    pub(super) fn answer_len(&self) -> u64 {
        self.state.answer().map_or(0, RecordedAnswer::kept_len)
    }
}
