use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{EntryPayload, HardState, LogEntry, Replica};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::incoming_snapshot::IncomingSnapshot;
use super::leading::Leading;
use super::log::{Log, next, size_of};
use super::rules::VoteView;
use super::snapshot::Snapshot;
use super::unsaved::Unsaved;
use super::{Role, StorageFault};

/// The state of a replica in memory. The persist task brings it to storage; nothing is acknowledged
/// before that.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    /// The term and the vote.
    pub(crate) hard: HardState,
    /// Rises with each change of `hard`.
    pub(crate) hard_version: u64,
    /// The version that is synced.
    pub(crate) hard_durable: u64,
    /// The role in the term; `Leader` exactly when `leading` is set.
    pub(crate) role: Role,
    /// The leader of the term, when known.
    pub(crate) leader: Option<ReplicaId>,
    /// The state of a leader.
    pub(crate) leading: Option<Leading>,
    /// The log.
    pub(crate) log: Log,
    /// The last snapshot.
    pub(crate) snapshot: Option<Rc<Snapshot>>,
    /// A snapshot that storage has not been given.
    pub(crate) unsaved_snapshot: Option<Rc<Snapshot>>,
    /// The pieces of a snapshot from the leader.
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// The commit index; never falls while the process runs.
    pub(crate) commit: LogIndex,
    /// The last entry that the replicated state contains; never above `commit`.
    pub(crate) applied: LogIndex,
    /// The size of the entries applied since the last snapshot.
    pub(crate) applied_size: u64,
    /// When the last message of a leader came.
    pub(crate) contact: Option<Instant>,
    /// The start of the election timer.
    pub(crate) timer: Instant,
    /// Whether the leader asked this replica to stand.
    pub(crate) takeover: bool,
    /// The first storage fault.
    pub(crate) fault: Option<StorageFault>,
    /// Whether the node was stopped.
    pub(crate) stopped: bool,
}

impl ReplicaState {
    /// Starts as a follower with what storage held.
    pub(crate) fn new(
        hard: HardState,
        log: Log,
        snapshot: Option<Rc<Snapshot>>,
        now: Instant,
    ) -> Self {
        let start = snapshot.as_ref().map_or(LogIndex::default(), |s| s.meta.index);
        let mut state = Self {
            hard,
            hard_version: 0,
            hard_durable: 0,
            role: Role::Follower,
            leader: None,
            leading: None,
            log,
            snapshot,
            unsaved_snapshot: None,
            incoming: None,
            commit: start,
            applied: start,
            applied_size: 0,
            contact: None,
            timer: now,
            takeover: false,
            fault: None,
            stopped: false,
        };
        state.adopt_term(state.log.last_term());
        state
    }

    /// Moves to a higher term without a vote in it.
    pub(crate) fn adopt_term(&mut self, term: Term) {
        if term > self.hard.term {
            self.set_hard(HardState { term, voted_for: None });
        }
    }

    /// Changes the term or the vote.
    pub(crate) fn set_hard(&mut self, hard: HardState) {
        if hard != self.hard {
            self.hard = hard;
            self.hard_version += 1;
        }
    }

    /// Follows in a term that is at least the present one.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<ReplicaId>) {
        self.adopt_term(term);
        self.role = Role::Follower;
        self.leading = None;
        self.leader = leader;
        self.takeover = false;
    }

    /// Notes a message of the leader of the term.
    pub(crate) fn note_contact(&mut self, now: Instant) {
        self.contact = Some(now);
        self.timer = now;
    }

    /// Tells whether this replica leads, or heard from a leader within `span`.
    pub(crate) fn has_leader(&self, now: Instant, span: Duration) -> bool {
        let heard = self.contact.is_some_and(|at| now.saturating_duration_since(at) < span);
        self.role == Role::Leader || (self.leader.is_some() && heard)
    }

    /// Returns what a decision on a vote needs.
    pub(crate) fn vote_view(&self, now: Instant, election_min: Duration) -> VoteView {
        VoteView {
            hard: self.hard,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            has_leader: self.has_leader(now, election_min),
        }
    }

    /// Appends an entry in the leader's own term and returns its index.
    pub(crate) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let index = next(self.log.last_index());
        let entry = LogEntry { index, term: self.hard.term, payload };
        if let Some(leading) = &mut self.leading {
            leading.uncommitted += size_of(&entry) as u64;
        }
        self.log.push(entry);
        index
    }

    /// Raises the commit index.
    pub(crate) fn raise_commit(&mut self, commit: LogIndex) {
        if commit <= self.commit {
            return;
        }
        if let Some(leading) = &mut self.leading {
            let size = self.log.size_between(next(self.commit), commit);
            leading.uncommitted = leading.uncommitted.saturating_sub(size);
        }
        self.commit = commit;
    }

    /// Takes everything that storage has not been given.
    pub(crate) fn take_unsaved(&mut self) -> Unsaved {
        let is_changed = self.hard_version > self.hard_durable;
        Unsaved {
            hard: is_changed.then_some((self.hard_version, self.hard)),
            snapshot: self.unsaved_snapshot.take(),
            entries: self.log.take_unsynced(),
        }
    }

    /// Notes that everything of a `take_unsaved` is synced.
    pub(crate) fn note_saved(&mut self, saved: &Unsaved) {
        if let Some((version, _)) = saved.hard {
            self.hard_durable = version;
        }
        if let Some(snapshot) = &saved.snapshot {
            self.log.note_snapshot(snapshot.meta.index);
        }
        if !saved.entries.entries.is_empty() {
            self.log.note_synced(saved.entries.epoch, saved.entries.last);
        }
    }

    /// Returns the leader with its host, when it is in the set in force.
    pub(crate) fn leader_replica(&self) -> Option<Replica> {
        let id = self.leader?;
        self.log.voters().all().find(|r| r.id == id).cloned()
    }

    /// Tells whether the leader has committed an entry in its term.
    pub(crate) fn is_term_committed(&self) -> bool {
        self.leading.as_ref().is_some_and(|l| self.commit >= l.term_start)
    }
}
