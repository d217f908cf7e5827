//! Expiry of records, and the floor below which keys are refused by their timestamp.

use masticstair_core::prelude::*;

use super::{
    CallDigest, CallKey, RecordState, RunOnceBound, RunOnceCommand, RunOnceRecord, RunOnceReply,
    RunOnceTable,
};

/// The number of records that a command may expire. A claim adds at most one record, so expiry keeps up.
const EXPIRED_PER_COMMAND: usize = 8;

/// The number of records that a raise of the floor may expire. Removing them from a table of 200,000 records
/// takes 2 ms.
const EXPIRED_PER_FLOOR_RAISE: usize = 1_024;

/// The most that one command raises the floor after it was first set. Otherwise a leader whose clock is far
/// ahead could make every new UUIDv7 key refused in one step, and the floor never decreases.
pub const MAX_FLOOR_STEP: Millis = Millis::new(3_600_000);

/// How far the timestamp of a key, or the clock of a proposer, may be ahead of the replicated time, which is
/// the floor plus the retention. A key further ahead is treated as one without a timestamp, since its record
/// would stay in the table too long.
pub const MAX_CLOCK_LEAD: Millis = Millis::new(30 * 86_400_000);

/// Returns how many records a command may expire.
pub(super) const fn budget(cmd: &RunOnceCommand) -> usize {
    match cmd {
        RunOnceCommand::RaiseFloor { .. } => EXPIRED_PER_FLOOR_RAISE,
        _ => EXPIRED_PER_COMMAND,
    }
}

impl RunOnceTable {
    /// Removes up to `budget` records below the floor, oldest first.
    pub(super) fn expire(&mut self, budget: usize) {
        for _ in 0..budget {
            let Some((created_at, digest)) = self.records.oldest() else { return };
            if created_at >= self.floor {
                return;
            }
            if self.records.remove(digest).is_some_and(|r| r.needs_digest()) {
                self.expired.insert(digest);
            }
        }
    }

    pub(super) fn raise_floor(&mut self, now: WallTime) -> RunOnceReply {
        let target = now.get().saturating_sub(self.limits.retention.get());
        let highest = match self.floor.get() {
            0 => u64::MAX,
            floor => floor.saturating_add(MAX_FLOOR_STEP.get()),
        };
        self.floor = self.floor.max(WallTime::new(target.min(highest)));
        RunOnceReply::Floor(self.floor)
    }

    /// Returns whether a key is refused as expired. A record below the floor counts as expired even before it
    /// is removed, unless it was released.
    pub(super) fn is_expired(&self, call: &CallKey, digest: CallDigest) -> bool {
        call.key.created().is_some_and(|t| t < self.floor)
            || self.expired.contains(&digest)
            || self
                .records
                .get(digest)
                .is_some_and(|r| r.created_at < self.floor && r.state != RecordState::Released)
    }

    pub(super) fn new_record(
        &self,
        call: &CallKey,
        request: RequestId,
        proposed_at: WallTime,
        state: RecordState,
    ) -> RunOnceRecord {
        let latest = self.latest_time(proposed_at);
        let created = call.key.created().filter(|t| *t <= latest);
        let created_at = created.unwrap_or(proposed_at.min(latest)).max(self.floor);
        RunOnceRecord { request, created_at, has_key_time: created.is_some(), state }
    }

    /// Returns the limit that inserting a record would exceed.
    pub(super) fn exceeded_bound(
        &self,
        digest: CallDigest,
        record: &RunOnceRecord,
    ) -> Option<RunOnceBound> {
        let replaced = self.records.get(digest);
        if replaced.is_none() && self.records.len() >= self.limits.max_records as usize {
            return Some(RunOnceBound::Records);
        }
        let digests = self.records.needing_digest() + self.expired.len();
        let full = digests >= self.limits.max_expired_keys as usize;
        (full && record.needs_digest()).then_some(RunOnceBound::ExpiredKeys)
    }

    /// Returns the latest `created_at` that a record may have.
    fn latest_time(&self, proposed_at: WallTime) -> WallTime {
        let now = match self.floor.get() {
            0 => proposed_at.get(),
            floor => floor.saturating_add(self.limits.retention.get()),
        };
        WallTime::new(now.saturating_add(MAX_CLOCK_LEAD.get()))
    }
}
