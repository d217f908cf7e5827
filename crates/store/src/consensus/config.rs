use masticstair_core::message::AppendRequest;
use masticstair_core::unit::{ByteCount, Millis, Slots};
use std::time::Duration;

use super::log::entry_bytes;

/// Timings and bounds of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// The shortest election timeout.
    pub election_min: Millis,
    /// The longest election timeout; a leader steps down after this time without a quorum.
    pub election_max: Millis,
    /// The time between heartbeats.
    pub heartbeat: Millis,
    /// How long a vote or a small append may take before the call counts as lost.
    pub call_timeout: Millis,
    /// How long one piece of a snapshot may take; the last one includes the restore and the sync.
    pub snapshot_timeout: Millis,
    /// The size of the entries in one append.
    pub max_append_batch: ByteCount,
    /// The appends in flight to one peer.
    pub max_in_flight_appends: Slots,
    /// The largest command.
    pub max_command: ByteCount,
    /// The size of the entries that are not committed; more proposals are refused.
    pub max_uncommitted: ByteCount,
    /// The size of the applied log above which it is compacted.
    pub compact_above: ByteCount,
    /// The size of the applied tail that stays in memory, so that a replica a little behind needs no
    /// snapshot.
    pub keep_tail: ByteCount,
    /// The largest snapshot that is accepted from a leader.
    pub max_snapshot: ByteCount,
    /// How long a voter may be unreachable before a learner that has caught up replaces it.
    pub replace_after: Millis,
    /// The number of voters that the leader promotes learners up to; at most 7.
    pub target_voters: Slots,
    /// The number of learners that are added for announced replicas.
    pub max_learners: Slots,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            election_min: Millis::new(300),
            election_max: Millis::new(600),
            heartbeat: Millis::new(50),
            call_timeout: Millis::new(300),
            snapshot_timeout: Millis::new(3_000),
            max_append_batch: ByteCount::new(256 << 10),
            max_in_flight_appends: Slots::new(8),
            // A bundle has at most 16 MiB.
            max_command: ByteCount::new(17 << 20),
            max_uncommitted: ByteCount::new(34 << 20),
            compact_above: ByteCount::new(8 << 20),
            keep_tail: ByteCount::new(1 << 20),
            max_snapshot: ByteCount::new(256 << 20),
            replace_after: Millis::new(60_000),
            target_voters: Slots::new(5),
            max_learners: Slots::new(2),
        }
    }
}

/// The least throughput that a link and the disk behind it are expected to have.
const MIN_BYTES_PER_MS: u64 = 8 << 10;

impl Config {
    /// Returns how long an append may take: a bundle of a large deployment needs more time than a vote.
    pub fn append_timeout(&self, req: &AppendRequest) -> Millis {
        let size: u64 = req.entries.iter().map(|e| entry_bytes(e) as u64).sum();
        Millis::new(self.call_timeout.get() + size / MIN_BYTES_PER_MS)
    }

    /// Maps a fraction in `[0, 1)` to an election timeout.
    pub(crate) fn election_timeout(&self, fraction: f64) -> Duration {
        let (min, max) = (self.election_min.duration(), self.election_max.duration());
        min + max.saturating_sub(min).mul_f64(fraction)
    }
}
