use masticstair_core::id::LogIndex;
use masticstair_core::message::Replica;
use std::time::Instant;

use super::progress_mode::ProgressMode;

/// What the leader knows of a peer in its term.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The peer.
    pub(crate) replica: Replica,
    /// The number of its replication task.
    pub(crate) task_id: u64,
    /// The next entry to send.
    pub(crate) next_index: LogIndex,
    /// The last entry that the peer acknowledged after its sync.
    pub(crate) match_index: LogIndex,
    /// How the leader sends to it.
    pub(crate) mode: ProgressMode,
    /// Appends with entries, probes and snapshot pieces in flight.
    pub(crate) in_flight: u32,
    /// Heartbeats in flight.
    pub(crate) heartbeats_in_flight: u32,
    /// When the last message was sent.
    pub(crate) last_sent: Option<Instant>,
    /// No append is sent before this time, after a lost call.
    pub(crate) retry_at: Option<Instant>,
    /// When the last answer came; the start of the term before the first one.
    pub(crate) last_reply_at: Instant,
    /// The last heartbeat round sent.
    pub(crate) sent_round: u64,
    /// The last heartbeat round answered.
    pub(crate) acked_round: u64,
    /// The commit index that a learner has to reach to count as caught up.
    pub(crate) catch_up_target: LogIndex,
    /// Whether the peer reached the goal that was set before the present one.
    pub(crate) caught_up: bool,
}

impl Progress {
    /// Starts with an empty match and a probe after `last`.
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

    /// Falls back to a probe from the last entry known to match.
    pub(crate) fn reset_to_probe(&mut self, retry_at: Instant) {
        self.mode = ProgressMode::Probe;
        self.next_index = LogIndex::new(self.match_index.get() + 1);
        self.retry_at = Some(retry_at);
    }

    /// Sets a new goal from the commit index once the present one is reached.
    pub(crate) fn update_catch_up_target(&mut self, commit: LogIndex) {
        self.caught_up = self.match_index >= self.catch_up_target;
        if self.caught_up || self.catch_up_target == LogIndex::new(u64::MAX) {
            self.catch_up_target = commit;
        }
    }
}
