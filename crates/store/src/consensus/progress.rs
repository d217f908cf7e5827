use masticstair_core::id::LogIndex;
use masticstair_core::message::Replica;
use std::time::Instant;

use super::progress_mode::ProgressMode;

/// The replication progress of a peer in the leader's term.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) replica: Replica,
    /// The id of its replication task; replies to an earlier task are ignored.
    pub(crate) task_id: u64,
    /// The index of the next entry to send.
    pub(crate) next_index: LogIndex,
    /// The highest index that the peer acknowledged as synced.
    pub(crate) match_index: LogIndex,
    pub(crate) mode: ProgressMode,
    /// The number of appends with entries, probes and snapshot chunks in flight.
    pub(crate) in_flight: u32,
    pub(crate) heartbeats_in_flight: u32,
    /// When the last message was sent.
    pub(crate) last_sent: Option<Instant>,
    /// The end of the backoff after a failed call or a reply without progress; no entries are sent
    /// before.
    pub(crate) retry_at: Option<Instant>,
    /// When the last reply arrived; initially the start of the task.
    pub(crate) last_reply_at: Instant,
    /// The latest heartbeat round sent.
    pub(crate) sent_round: u64,
    /// The latest heartbeat round that the peer acknowledged.
    pub(crate) acked_round: u64,
    /// The index that the peer must reach to count as caught up; `u64::MAX` until it is first set.
    pub(crate) catch_up_target: LogIndex,
    /// Whether the peer reached the previous `catch_up_target`.
    pub(crate) caught_up: bool,
}

impl Progress {
    /// Starts in `Probe` mode after index `last`, with nothing known to match.
    pub(crate) fn new(replica: Replica, task_id: u64, last: LogIndex, now: Instant) -> Self {
        Self {
            replica,
            task_id,
            next_index: LogIndex::new(last.get() + 1),
            match_index: LogIndex::default(),
            mode: ProgressMode::Probe,
            in_flight: 0,
            heartbeats_in_flight: 0,
            last_sent: None,
            retry_at: None,
            last_reply_at: now,
            sent_round: 0,
            acked_round: 0,
            catch_up_target: LogIndex::new(u64::MAX),
            caught_up: false,
        }
    }

    /// Returns to `Probe` mode after the last matching entry.
    pub(crate) fn reset_to_probe(&mut self, retry_at: Instant) {
        self.mode = ProgressMode::Probe;
        self.next_index = LogIndex::new(self.match_index.get() + 1);
        self.retry_at = Some(retry_at);
    }

    /// Updates `caught_up`, and sets the target to the commit index once the previous target is reached.
    pub(crate) fn update_catch_up_target(&mut self, commit: LogIndex) {
        self.caught_up = self.match_index >= self.catch_up_target;
        if self.caught_up || self.catch_up_target == LogIndex::new(u64::MAX) {
            self.catch_up_target = commit;
        }
    }
}
