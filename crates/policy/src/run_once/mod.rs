//! The replicated table of calls that must not be repeated.
//!
//! Every reply depends only on the commands applied before, so that all replicas give the same one. No
//! clock is read: wall times arrive in commands and only order expiry.

mod call_digest;
mod call_key;
mod call_status;
mod claim;
mod claimant;
mod expiry;
mod record_state;
mod recorded_answer;
mod records;
mod run_once_bound;
mod run_once_command;
mod run_once_limits;
mod run_once_record;
mod run_once_reply;

pub use call_digest::CallDigest;
pub use call_key::CallKey;
pub use call_status::CallStatus;
pub use claim::Claim;
pub use claimant::Claimant;
pub use expiry::{MAX_CLOCK_LEAD, MAX_FLOOR_STEP};
pub use record_state::RecordState;
pub use recorded_answer::RecordedAnswer;
pub use run_once_bound::RunOnceBound;
pub use run_once_command::RunOnceCommand;
pub use run_once_limits::RunOnceLimits;
pub use run_once_record::RunOnceRecord;
pub use run_once_reply::RunOnceReply;

use masticstair_core::prelude::*;
use std::collections::BTreeSet;

use records::Records;

/// The most bytes of answers that all records together store. Further answers are recorded as omitted, so
/// that many large answers cannot make a snapshot of several gigabytes.
pub const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// The replicated table of calls that must not be repeated.
#[derive(Debug)]
pub struct RunOnceTable {
    limits: RunOnceLimits,
    /// Keys created before it are refused. Never decreases; 0 until it is first raised.
    floor: WallTime,
    records: Records,
    /// Digests of keys without a timestamp whose records have expired; never removed.
    expired: BTreeSet<CallDigest>,
}

impl RunOnceTable {
    /// Creates an empty table whose floor is 0.
    pub fn new(limits: RunOnceLimits) -> Self {
        Self {
            limits,
            floor: WallTime::default(),
            records: Records::default(),
            expired: BTreeSet::new(),
        }
    }

    /// Restores a table from the parts of a snapshot.
    pub fn from_parts(
        limits: RunOnceLimits,
        floor: WallTime,
        records: impl IntoIterator<Item = (CallDigest, RunOnceRecord)>,
        expired: impl IntoIterator<Item = CallDigest>,
    ) -> Self {
        let records = records.into_iter().collect();
        Self { limits, floor, records, expired: expired.into_iter().collect() }
    }

    /// Applies a command from the log, after it has removed some of the expired records.
    pub fn apply(&mut self, cmd: &RunOnceCommand) -> RunOnceReply {
        self.expire(expiry::budget(cmd));
        match cmd {
            RunOnceCommand::Claim(claim) => self.claim(claim),
            RunOnceCommand::Finish { call, request, answer } => {
                self.record_outcome(call, *request, answer, |body, answer| RecordState::Done {
                    body,
                    answer,
                })
            }
            RunOnceCommand::Fail { call, request, answer } => {
                self.record_outcome(call, *request, answer, |body, answer| RecordState::Failed {
                    body,
                    answer,
                })
            }
            RunOnceCommand::Release { call, request, proposed_at } => {
                self.release(call, *request, *proposed_at)
            }
            RunOnceCommand::ReportOrphaned { call, request } => self.mark_unknown(call, *request),
            RunOnceCommand::RaiseFloor { now } => self.raise_floor(*now),
        }
    }

    /// Sets the limits of the bundle that came into force; existing records stay as they are.
    pub fn set_limits(&mut self, limits: RunOnceLimits) {
        self.limits = limits;
    }

    /// Returns the status of a call without changing it; `NoRecord` when the key is unused.
    pub fn find(&self, call: &CallKey) -> RunOnceReply {
        let digest = call.digest();
        if self.is_expired(call, digest) {
            return RunOnceReply::KeyExpired;
        }
        self.records.get(digest).map_or(RunOnceReply::NoRecord, |r| RunOnceReply::Found(r.status()))
    }

    /// Returns the floor of key timestamps; 0 until it is first raised.
    pub const fn floor(&self) -> WallTime {
        self.floor
    }

    /// Returns every record, ordered by digest.
    pub fn records(&self) -> impl ExactSizeIterator<Item = (&CallDigest, &RunOnceRecord)> {
        self.records.iter()
    }

    /// Returns the digests of expired keys without a timestamp, in order.
    pub fn expired(&self) -> impl ExactSizeIterator<Item = &CallDigest> {
        self.expired.iter()
    }

    fn claim(&mut self, claim: &Claim) -> RunOnceReply {
        let digest = claim.call.digest();
        if self.is_expired(&claim.call, digest) {
            return RunOnceReply::KeyExpired;
        }
        match self.records.get(digest) {
            None => self.insert_claim(digest, claim),
            Some(r) if r.state == RecordState::Released && r.request != claim.request => {
                self.insert_claim(digest, claim)
            }
            Some(r) => existing_claim_reply(r, claim),
        }
    }

    fn insert_claim(&mut self, digest: CallDigest, claim: &Claim) -> RunOnceReply {
        let state = RecordState::Claimed { body: claim.body, claimant: claim.claimant.clone() };
        let record = self.new_record(&claim.call, claim.request, claim.claimant.proposed_at, state);
        if let Some(bound) = self.exceeded_bound(digest, &record) {
            return RunOnceReply::Full(bound);
        }
        self.records.insert(digest, record);
        RunOnceReply::Granted
    }

    fn record_outcome(
        &mut self,
        call: &CallKey,
        request: RequestId,
        answer: &RecordedAnswer,
        state: fn(Sha256Digest, RecordedAnswer) -> RecordState,
    ) -> RunOnceReply {
        let digest = call.digest();
        let Some(record) = self.records.get(digest) else {
            return self.no_record_reply(call, digest);
        };
        if record.request != request {
            return RunOnceReply::NotClaimant;
        }
        match &record.state {
            RecordState::Claimed { body, .. } | RecordState::Unknown { body } => {
                let state = state(*body, answer.with_limit(self.max_answer_size()));
                self.records.set_state(digest, state);
                RunOnceReply::Recorded
            }
            other => match (other.body(), other.answer()) {
                (Some(body), Some(kept))
                    if kept.same_answer(answer) && state(*body, kept.clone()) == *other =>
                {
                    RunOnceReply::Recorded
                }
                _ => RunOnceReply::Found(record.status()),
            },
        }
    }

    fn release(
        &mut self,
        call: &CallKey,
        request: RequestId,
        proposed_at: WallTime,
    ) -> RunOnceReply {
        let digest = call.digest();
        let Some(record) = self.records.get(digest) else {
            return self.release_before_claim(call, digest, request, proposed_at);
        };
        if record.request != request {
            return RunOnceReply::NotClaimant;
        }
        match record.state {
            RecordState::Done { .. } | RecordState::Failed { .. } => {
                RunOnceReply::Found(record.status())
            }
            RecordState::Released => RunOnceReply::Recorded,
            RecordState::Claimed { .. } | RecordState::Unknown { .. } => {
                self.records.set_state(digest, RecordState::Released);
                RunOnceReply::Recorded
            }
        }
    }

    /// Records a release that precedes its claim in the log, so that the late claim does not block the key.
    /// If the table is full, the late claim is granted to a request that never sends the call, and the key
    /// stays blocked.
    fn release_before_claim(
        &mut self,
        call: &CallKey,
        digest: CallDigest,
        request: RequestId,
        proposed_at: WallTime,
    ) -> RunOnceReply {
        let record = self.new_record(call, request, proposed_at, RecordState::Released);
        if !self.is_expired(call, digest) && self.exceeded_bound(digest, &record).is_none() {
            self.records.insert(digest, record);
        }
        RunOnceReply::Recorded
    }

    fn mark_unknown(&mut self, call: &CallKey, request: RequestId) -> RunOnceReply {
        let digest = call.digest();
        let Some(record) = self.records.get(digest) else {
            return self.no_record_reply(call, digest);
        };
        match record.state {
            RecordState::Claimed { body, .. } if record.request == request => {
                self.records.set_state(digest, RecordState::Unknown { body });
                RunOnceReply::Recorded
            }
            _ => RunOnceReply::Found(record.status()),
        }
    }

    fn no_record_reply(&self, call: &CallKey, digest: CallDigest) -> RunOnceReply {
        if self.is_expired(call, digest) {
            RunOnceReply::KeyExpired
        } else {
            RunOnceReply::NoRecord
        }
    }

    fn max_answer_size(&self) -> ByteCount {
        let left = MAX_ANSWER_BYTES.saturating_sub(self.records.answer_bytes());
        self.limits.max_answer_size.min(ByteCount::new(left))
    }
}

fn existing_claim_reply(record: &RunOnceRecord, claim: &Claim) -> RunOnceReply {
    if record.state.body().is_some_and(|body| *body != claim.body) {
        return RunOnceReply::BodyConflict;
    }
    match record.state {
        // The proposer resent its claim.
        RecordState::Claimed { .. } if record.request == claim.request => RunOnceReply::Granted,
        _ => RunOnceReply::Found(record.status()),
    }
}
