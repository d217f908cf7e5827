use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{
    AppendReply, AppendRequest, Replica, SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
    VoterSet,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::log::Log;
use super::pending_proposals::PendingProposals;
use super::replica_state::ReplicaState;
use super::shared::Shared;
use super::signals::Signals;
use super::snapshot::Snapshot;
use super::{
    ChangeError, Config, FormationAnswer, NodeParts, NodeStatus, ProposeError, ReadError,
    ReplicaFault, RequestError, StartError, TransferError, handlers, requests, tasks,
};

/// A replica of the log. Its tasks run on the thread that started it; clones are handles to the same
/// replica.
#[derive(Clone)]
pub struct Node {
    shared: Rc<Shared>,
}

impl Node {
    /// Restores the replica from the recovered state and starts its tasks on the runtime of this thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the recovered snapshot cannot be restored or the timeouts in the
    /// configuration are inconsistent.
    pub fn start(mut parts: NodeParts) -> Result<Self, StartError> {
        check_timings(&parts.cfg)?;
        let mut snapshot = None;
        if let Some((meta, data)) = &parts.recovered.snapshot {
            (parts.state_machine.restore)(data)?;
            let data = data.clone();
            snapshot = Some(Rc::new(Snapshot { meta: meta.clone(), data }));
        }
        let hard_state = parts.recovered.hard_state;
        let log = Log::recover(parts.recovered);
        let state = ReplicaState::new(hard_state, log, snapshot, Instant::now());
        let shared = Rc::new(Shared {
            local_replica: parts.local_replica,
            cfg: parts.cfg,
            state: RefCell::new(state),
            state_machine: RefCell::new(parts.state_machine),
            pending_proposals: RefCell::new(PendingProposals::default()),
            storage: parts.storage,
            signals: Signals::default(),
            connect: parts.connect,
            links: RefCell::new(BTreeMap::new()),
            announced: RefCell::new(BTreeMap::new()),
            last_task_id: Cell::new(0),
            log: parts.log,
        });
        monoio::spawn(tasks::persist(shared.clone()));
        monoio::spawn(tasks::apply(shared.clone()));
        monoio::spawn(tasks::elect(shared.clone()));
        monoio::spawn(tasks::manage_membership(shared.clone()));
        Ok(Self { shared })
    }

    /// Proposes an encoded command and returns the reply of the state machine.
    ///
    /// # Errors
    ///
    /// `NotProposed` when the command was never appended to a log; `Unknown` when it was appended and no
    /// reply arrived within `limit`.
    pub async fn propose(
        &self,
        command: Box<[u8]>,
        limit: Duration,
    ) -> Result<Box<[u8]>, ProposeError> {
        requests::propose(&self.shared, command, limit).await
    }

    /// Answers an encoded query from a state that contains every command acknowledged before the call.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader or no quorum confirms its leadership within
    /// `limit`.
    pub async fn read(&self, query: &[u8], limit: Duration) -> Result<Box<[u8]>, ReadError> {
        requests::read(&self.shared, query, limit).await
    }

    /// Appends a membership change; `NodeStatus::members_committed` shows when it is committed.
    ///
    /// # Errors
    ///
    /// Returns the rule that the change violates.
    pub fn change_voters(&self, set: VoterSet) -> Result<(), ChangeError> {
        requests::change_voters(&self.shared, set)
    }

    /// Records a reachable replica. A leader adds it as a learner if it is not a member, and drops the
    /// announcement after `Config::replace_after`; the caller repeats it while the replica is reachable.
    pub fn announce(&self, replica: Replica) {
        let at = Instant::now();
        self.shared.announced.borrow_mut().insert(replica.host.clone(), (replica, at));
    }

    /// Transfers the leadership to another voter, as before a shutdown, and waits until this replica no
    /// longer leads.
    ///
    /// # Errors
    ///
    /// Returns an error when this replica is not the leader, no other voter is reachable, or the
    /// transfer does not complete within `limit`.
    pub async fn transfer_leadership(&self, limit: Duration) -> Result<(), TransferError> {
        requests::transfer_leadership(&self.shared, limit).await
    }

    /// Writes the initial voters chosen by `decide_formation` and waits for the sync.
    ///
    /// # Errors
    ///
    /// Returns `AlreadyFormed` when the log is not empty or `term` is not above the current term.
    pub async fn form(&self, set: VoterSet, term: Term) -> Result<(), ChangeError> {
        requests::form(&self.shared, set, term).await
    }

    /// Returns the state of this replica as other initial voters need it to form the group.
    pub fn formation_answer(&self) -> FormationAnswer {
        requests::formation_answer(&self.shared)
    }

    /// Returns a copy of the current state for status pages and metrics.
    pub fn status(&self) -> NodeStatus {
        requests::status(&self.shared)
    }

    /// Waits until the entry at `index` is applied; returns false when the node is stopped first.
    pub async fn wait_applied(&self, index: LogIndex) -> bool {
        loop {
            let seen = self.shared.signals.applied.version();
            if self.shared.state.borrow().applied_index >= index {
                return true;
            }
            if self.shared.is_stopped() {
                return false;
            }
            self.shared.signals.applied.changed_since(seen).await;
        }
    }

    /// Waits for the first fault; returns `None` if the node is stopped without one.
    pub async fn wait_fault(&self) -> Option<ReplicaFault> {
        loop {
            let seen = self.shared.signals.role_changed.version();
            let (fault, is_stopped) = {
                let state = self.shared.state.borrow();
                (state.fault.clone(), state.stopped)
            };
            if fault.is_some() || is_stopped {
                return fault;
            }
            self.shared.signals.role_changed.changed_since(seen).await;
        }
    }

    /// Handles a vote request.
    ///
    /// # Errors
    ///
    /// Returns an error when the node is stopped or storage failed.
    pub async fn vote(&self, req: VoteRequest) -> Result<VoteReply, RequestError> {
        handlers::vote(&self.shared, req).await
    }

    /// Handles an append or a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error when the node is stopped, storage failed, or the entries are not valid.
    pub async fn append(&self, req: AppendRequest) -> Result<AppendReply, RequestError> {
        handlers::append(&self.shared, req).await
    }

    /// Handles a snapshot chunk.
    ///
    /// # Errors
    ///
    /// Returns an error when the node is stopped, storage failed, or the chunk is too large.
    pub async fn snapshot(&self, chunk: SnapshotChunk) -> Result<SnapshotReply, RequestError> {
        handlers::snapshot(&self.shared, chunk).await
    }

    /// Stops the tasks. Proposals in progress end as `Unknown`.
    pub fn stop(&self) {
        self.shared.state.borrow_mut().stopped = true;
        self.shared.pending_proposals.borrow_mut().clear();
        self.shared.signals.notify_all();
    }
}

fn check_timings(cfg: &Config) -> Result<(), StartError> {
    let (min, max) = (cfg.election_min.get(), cfg.election_max.get());
    let heartbeat = cfg.heartbeat.get();
    if min >= max || heartbeat == 0 || heartbeat * 2 > min {
        return Err(StartError::Timings { min, max, heartbeat });
    }
    Ok(())
}
