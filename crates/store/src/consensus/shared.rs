use masticstair_core::id::{HostId, LogIndex, ReplicaId, Term};
use masticstair_core::message::Replica;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use super::pending_proposals::PendingProposals;
use super::replica_state::ReplicaState;
use super::rules::new_commit_index;
use super::signals::Signals;
use super::{Config, PeerLink, ReplicaFault, RequestError, Role, StateMachine, Storage};

/// The state shared by the tasks of a node. No borrow of a cell is held across an await.
pub(crate) struct Shared {
    pub(crate) local_replica: Replica,
    pub(crate) cfg: Config,
    pub(crate) state: RefCell<ReplicaState>,
    pub(crate) state_machine: RefCell<StateMachine>,
    pub(crate) pending_proposals: RefCell<PendingProposals>,
    /// Durable storage; used by the persist task only.
    pub(crate) storage: Storage,
    pub(crate) signals: Signals,
    /// Creates the link to a replica.
    pub(crate) connect: Box<dyn Fn(&Replica) -> PeerLink>,
    /// The links in use.
    pub(crate) links: RefCell<BTreeMap<ReplicaId, Rc<PeerLink>>>,
    /// Announced replicas by host, with the time of their last announcement.
    pub(crate) announced: RefCell<BTreeMap<HostId, (Replica, Instant)>>,
    /// The id of the latest replication task.
    pub(crate) last_task_id: Cell<u64>,
    pub(crate) log: Logger,
}

impl Shared {
    /// Returns the link to a replica, created on first use.
    pub(crate) fn link(&self, replica: &Replica) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        links.entry(replica.id).or_insert_with(|| Rc::new((self.connect)(replica))).clone()
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.state.borrow().stopped
    }

    /// Returns an error when the node is stopped or storage failed; messages must not be answered then.
    pub(crate) fn check_serving(&self) -> Result<(), RequestError> {
        let state = self.state.borrow();
        match &state.fault {
            _ if state.stopped => Err(RequestError::Stopped),
            Some(fault) => Err(fault.clone().into()),
            None => Ok(()),
        }
    }

    /// Becomes a follower, and moves to `term` if it is higher.
    pub(crate) fn step_down(&self, term: Term, reason: &str) {
        let mut state = self.state.borrow_mut();
        let role = state.role;
        state.become_follower(term, None);
        if role == Role::Leader {
            state.election_timer_start = Instant::now();
        }
        if role != Role::Follower {
            info!(self.log, "stepped down to follower";
                "role" => %role, "term" => %term, "reason" => reason);
        }
        drop(state);
        self.signals.notify_all();
    }

    /// Stops acknowledging after a fault and steps down.
    pub(crate) fn handle_fault(&self, fault: ReplicaFault) {
        warn!(self.log, "fault; node stops acknowledging and steps down"; "fault" => %fault);
        let mut state = self.state.borrow_mut();
        let term = state.hard_state.term;
        state.fault.get_or_insert(fault);
        drop(state);
        // The node accepts no more entries, so it cannot learn the outcome of these proposals.
        self.pending_proposals.borrow_mut().clear();
        self.step_down(term, "fault");
    }

    /// Commits the entries that a quorum has synced. A leader that was removed from the voters steps
    /// down once that change is committed.
    pub(crate) fn advance_commit(&self) {
        let mut state = self.state.borrow_mut();
        let Some(leader_state) = &state.leader_state else { return };
        let set = state.log.voters();
        let match_index = |id: ReplicaId| match id == self.local_replica.id {
            true => state.log.synced_index(),
            false => leader_state.progress.get(&id).map_or(LogIndex::default(), |p| p.match_index),
        };
        let term_at = |index| state.log.term_at(index);
        let Some(commit) =
            new_commit_index(set, state.hard_state.term, state.commit_index, match_index, term_at)
        else {
            return;
        };
        let is_voted_out =
            !set.is_voter(self.local_replica.id) && state.log.voters_index() <= commit;
        state.raise_commit(commit);
        let term = state.hard_state.term;
        drop(state);
        self.signals.committed.notify();
        if is_voted_out {
            self.step_down(term, "removed from the voters");
        }
    }

    /// Waits until a version of the hard state is synced.
    pub(crate) async fn wait_hard_state_durable(&self, version: u64) -> Result<(), RequestError> {
        loop {
            let seen = self.signals.durable.version();
            self.check_serving()?;
            if self.state.borrow().durable_hard_state_version >= version {
                return Ok(());
            }
            self.signals.durable.changed_since(seen).await;
        }
    }

    /// Waits until the log is synced up to an index; returns false if the term changed first.
    pub(crate) async fn wait_log_durable(
        &self,
        index: LogIndex,
        term: Term,
    ) -> Result<bool, RequestError> {
        loop {
            let seen = self.signals.durable.version();
            self.check_serving()?;
            let (current, synced_index) = self.term_and_synced();
            if current != term || synced_index >= index {
                return Ok(current == term);
            }
            self.signals.durable.changed_since(seen).await;
        }
    }

    fn term_and_synced(&self) -> (Term, LogIndex) {
        let state = self.state.borrow();
        (state.hard_state.term, state.log.synced_index())
    }
}
