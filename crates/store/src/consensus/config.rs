use masticstair_core::message::AppendRequest;
use masticstair_core::unit::{ByteCount, Millis, Slots};
use std::time::Duration;

use super::log::entry_bytes;

/// Timeouts, intervals and size limits of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// The lower bound of the randomized election timeout; at least twice `heartbeat`.
    pub election_min: Millis,
    /// The upper bound of the randomized election timeout. A leader steps down after this time without
    /// replies from a quorum.
    pub election_max: Millis,
    /// The interval between heartbeats to an idle peer; must not be 0.
    pub heartbeat: Millis,
    /// The timeout of vote requests and heartbeats, and the fixed part of `append_timeout`.
    pub call_timeout: Millis,
    /// The timeout of one snapshot chunk; the reply to the last chunk includes the restore and the sync.
    pub snapshot_timeout: Millis,
    /// The largest total entry size of one append; a larger entry is sent alone.
    pub max_append_batch: ByteCount,
    /// The maximum number of pipelined appends to one peer.
    pub max_in_flight_appends: Slots,
    /// The largest command that `propose` accepts.
    pub max_command: ByteCount,
    /// The limit on the size of uncommitted entries; proposals beyond it are refused.
    pub max_uncommitted: ByteCount,
    /// The size of applied entries since the last snapshot above which a new snapshot is taken.
    pub compact_above: ByteCount,
    /// The size of applied entries that stay in memory after a snapshot, so that a replica that lags a
    /// little needs no snapshot.
    pub keep_tail: ByteCount,
    /// The largest snapshot accepted from a leader.
    pub max_snapshot: ByteCount,
    /// How long a voter must be unreachable before a learner that has caught up may replace it.
    pub replace_after: Millis,
    /// The number of voters that the leader maintains by promoting learners; at most 7.
    pub target_voters: Slots,
    /// The maximum number of learners added for announced replicas.
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

/// The minimum throughput assumed for a link and the disk behind it, in bytes per millisecond.
const MIN_BYTES_PER_MS: u64 = 8 << 10;

impl Config {
    /// Returns the timeout of an append: `call_timeout` plus the transfer time at the minimum
    /// throughput, since the bundle of a large deployment takes longer than a vote.
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
