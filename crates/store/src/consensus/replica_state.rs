use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{EntryPayload, HardState, LogEntry, Replica};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::incoming_snapshot::IncomingSnapshot;
use super::leader_state::LeaderState;
use super::log::{Log, entry_bytes, index_after};
use super::rules::VoteView;
use super::snapshot::Snapshot;
use super::unsaved_state::UnsavedState;
use super::{ReplicaFault, Role};

/// The state of a replica in memory. The persist task writes it to storage; nothing is acknowledged
/// before it is synced.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    /// The current term and the vote in it.
    pub(crate) hard_state: HardState,
    /// Incremented with each change of `hard_state`.
    pub(crate) hard_state_version: u64,
    /// The latest synced version of `hard_state`.
    pub(crate) durable_hard_state_version: u64,
    /// The role in the term; `Leader` exactly when `leader_state` is set.
    pub(crate) role: Role,
    /// The leader of the term, if known.
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Rc<Snapshot>>,
    /// The snapshot that is not yet handed to storage.
    pub(crate) unsaved_snapshot: Option<Rc<Snapshot>>,
    /// A snapshot that is being received from the leader.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// The commit index; it never decreases while the process runs.
    pub(crate) commit_index: LogIndex,
    /// The last index applied to the state machine; at most `commit_index`.
    pub(crate) applied_index: LogIndex,
    /// The size of the entries applied since the last snapshot.
    pub(crate) applied_bytes: u64,
    /// When the last message of a leader arrived.
    pub(crate) last_leader_contact: Option<Instant>,
    pub(crate) election_timer_start: Instant,
    /// Whether the leader asked this replica to start an election for a leadership transfer.
    pub(crate) transfer_requested: bool,
    /// The first fault; nothing is acknowledged after it.
    pub(crate) fault: Option<ReplicaFault>,
    pub(crate) stopped: bool,
}

impl ReplicaState {
    /// Creates a follower from the recovered state.
    pub(crate) fn new(
        hard_state: HardState,
        log: Log,
        snapshot: Option<Rc<Snapshot>>,
        now: Instant,
    ) -> Self {
        let start = snapshot.as_ref().map_or(LogIndex::default(), |s| s.meta.index);
        let mut state = Self {
            hard_state,
            hard_state_version: 0,
            durable_hard_state_version: 0,
            role: Role::Follower,
            leader: None,
            leader_state: None,
            log,
            snapshot,
            unsaved_snapshot: None,
            incoming_snapshot: None,
            commit_index: start,
            applied_index: start,
            applied_bytes: 0,
            last_leader_contact: None,
            election_timer_start: now,
            transfer_requested: false,
            fault: None,
            stopped: false,
        };
        state.adopt_term(state.log.last_term());
        state
    }

    /// Moves to a higher term, without a vote in it; ignores a lower or equal term.
    pub(crate) fn adopt_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: None });
        }
    }

    /// Replaces the term and the vote; the persist task syncs the change.
    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        if hard_state != self.hard_state {
            self.hard_state = hard_state;
            self.hard_state_version += 1;
        }
    }

    /// Becomes a follower in `term`, which must be at least the current one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        self.adopt_term(term);
        self.role = Role::Follower;
        self.leader_state = None;
        self.leader = leader;
        self.transfer_requested = false;
    }

    /// Records a message of the leader of the term and restarts the election timer.
    pub(crate) fn record_leader_contact(&mut self, now: Instant) {
        self.last_leader_contact = Some(now);
        self.election_timer_start = now;
    }

    /// Returns whether this replica is the leader, or received a message of the leader during the last
    /// `within`.
    pub(crate) fn has_leader(&self, now: Instant, within: Duration) -> bool {
        let is_recent =
            self.last_leader_contact.is_some_and(|at| now.saturating_duration_since(at) < within);
        self.role == Role::Leader || (self.leader.is_some() && is_recent)
    }

    pub(crate) fn vote_view(&self, now: Instant, election_min: Duration) -> VoteView {
        VoteView {
            hard_state: self.hard_state,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            has_leader: self.has_leader(now, election_min),
        }
    }

    /// Appends an entry in the current term as its leader; returns the index.
    pub(crate) fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = index_after(self.log.last_index());
        let entry = LogEntry { index, term: self.hard_state.term, payload };
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.uncommitted_bytes += entry_bytes(&entry) as u64;
        }
        self.log.push(entry);
        index
    }

    /// Raises the commit index; a lower or equal index is ignored.
    pub(crate) fn raise_commit(&mut self, commit: LogIndex) {
        if commit <= self.commit_index {
            return;
        }
        if let Some(leader_state) = &mut self.leader_state {
            let size = self.log.bytes_between(index_after(self.commit_index), commit);
            leader_state.uncommitted_bytes = leader_state.uncommitted_bytes.saturating_sub(size);
        }
        self.commit_index = commit;
    }

    /// Takes everything not yet handed to storage.
    pub(crate) fn take_unsaved(&mut self) -> UnsavedState {
        let is_changed = self.hard_state_version > self.durable_hard_state_version;
        UnsavedState {
            hard_state: is_changed.then_some((self.hard_state_version, self.hard_state)),
            snapshot: self.unsaved_snapshot.take(),
            entries: self.log.take_unwritten(),
        }
    }

    /// Records that everything returned by `take_unsaved` is synced.
    pub(crate) fn record_saved(&mut self, saved: &UnsavedState) {
        if let Some((version, _)) = saved.hard_state {
            self.durable_hard_state_version = version;
        }
        if let Some(snapshot) = &saved.snapshot {
            self.log.record_snapshot_synced(snapshot.meta.index);
        }
        if !saved.entries.entries.is_empty() {
            self.log.record_synced(saved.entries.epoch, saved.entries.last_index);
        }
    }

    /// Returns the leader with its host, if it is known and a member in force.
    pub(crate) fn leader_replica(&self) -> Option<Replica> {
        let id = self.leader?;
        self.log.voters().all().find(|r| r.id == id).cloned()
    }

    /// Returns whether the leader has committed an entry of its term.
    pub(crate) fn is_term_committed(&self) -> bool {
        self.leader_state.as_ref().is_some_and(|l| self.commit_index >= l.term_start_index)
    }
}
