use rand::Rng;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::open_folder::open_folder;
use super::{ReplicaError, ReplicaParts, RestartDelay, RunningReplica, storage_adapter};
use crate::consensus::{Node, ReplicaFault};
use crate::storage::{Recovered, StorageHandle};

/// The replica of this host. Clones are handles to the same replica.
#[derive(Clone)]
pub struct LocalReplica {
    inner: Rc<Inner>,
}

struct Inner {
    parts: ReplicaParts,
    /// `None` from a storage fault until the data folder is open again. A stop of the replica leaves the stopped node.
    running: RefCell<Option<RunningReplica>>,
    /// Why no node runs; `None` while one does.
    reason: RefCell<Option<Box<str>>>,
    is_stopped: Cell<bool>,
}

impl LocalReplica {
    /// Opens the data folder and starts the node on the runtime of this thread. If the disk fails now, the
    /// replica starts later, as after a storage fault.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used for a reason that does not pass, or the node cannot start.
    pub fn start(parts: ReplicaParts) -> Result<Self, ReplicaError> {
        let opened = (parts.open)().map_err(ReplicaError::from);
        let inner = Inner {
            parts,
            running: RefCell::default(),
            reason: RefCell::default(),
            is_stopped: Cell::new(false),
        };
        let replica = Self { inner: Rc::new(inner) };
        match opened.and_then(|opened| replica.start_node(opened)) {
            Err(e) if e.may_pass() => {
                warn!(replica.inner.parts.log, "cannot open the data folder; trying again";
                    "reason" => %e);
                replica.record_reason(e.to_string().into());
            }
            started => started?,
        }
        monoio::spawn(run(replica.clone()));
        Ok(replica)
    }

    /// Returns the node; `None` while the data folder cannot be used.
    pub fn node(&self) -> Option<Node> {
        self.inner.running.borrow().as_ref().map(|running| running.node.clone())
    }

    /// Returns why the replica acknowledges nothing; `None` while it works.
    pub fn fault(&self) -> Option<Box<str>> {
        let reason = self.inner.reason.borrow().clone();
        reason.or_else(|| match self.node()?.status().fault? {
            ReplicaFault::Storage(fault) => Some(fault.0),
            fault => Some(fault.to_string().into()),
        })
    }

    /// Transfers the leadership if the node leads, which takes at most `limit`, and closes the storage.
    pub async fn stop(&self, limit: Duration) {
        self.inner.is_stopped.set(true);
        let Some(running) = self.inner.running.borrow().clone() else { return };
        if let Err(e) = running.node.transfer_leadership(limit).await {
            info!(self.inner.parts.log, "stopping without a leadership transfer"; "reason" => %e);
        }
        running.stop().await;
    }

    fn start_node(&self, opened: (StorageHandle, Recovered)) -> Result<(), ReplicaError> {
        let (storage, recovered) = opened;
        let parts = &self.inner.parts;
        let identity = recovered.identity;
        let state = storage_adapter::recovered_state(recovered);
        let node = (parts.start)(identity, state, storage_adapter::storage(storage.clone()))?;
        *self.inner.running.borrow_mut() = Some(RunningReplica { node: node.clone(), storage });
        *self.inner.reason.borrow_mut() = None;
        (parts.changed)(Some(&node));
        Ok(())
    }

    fn record_reason(&self, reason: Box<str>) {
        *self.inner.reason.borrow_mut() = Some(reason);
        (self.inner.parts.changed)(None);
    }

    /// Waits until the storage of the node fails, and drops both. Returns false if the node was stopped, or
    /// has a fault that a new node would have as well.
    async fn drop_failed(&self) -> bool {
        let Some(running) = self.inner.running.borrow().clone() else {
            return !self.inner.is_stopped.get();
        };
        let Some(ReplicaFault::Storage(fault)) = running.node.wait_fault().await else {
            return false;
        };
        warn!(self.inner.parts.log, "storage failed; opening the data folder again";
            "reason" => fault.0.as_ref());
        self.inner.running.borrow_mut().take();
        self.record_reason(fault.0);
        running.stop().await;
        true
    }

    /// Opens the data folder and starts a node from it. Returns whether a node runs.
    async fn start_again(&self) -> bool {
        let opened = open_folder(self.inner.parts.open.clone()).await;
        if self.inner.is_stopped.get() {
            return false;
        }
        let Err(e) = opened.map_err(ReplicaError::from).and_then(|opened| self.start_node(opened))
        else {
            return true;
        };
        let reason: Box<str> = e.to_string().into();
        if self.inner.reason.borrow().as_ref() != Some(&reason) {
            warn!(self.inner.parts.log, "cannot open the data folder yet"; "reason" => &*reason);
            *self.inner.reason.borrow_mut() = Some(reason);
        }
        false
    }
}

/// Starts the node again after each storage fault, until the replica is stopped.
async fn run(replica: LocalReplica) {
    let mut delay = RestartDelay::default();
    let mut started = Instant::now();
    while replica.drop_failed().await {
        delay.record_run(started.elapsed());
        let lost_since = Instant::now();
        let mut attempts = 0;
        loop {
            monoio::time::sleep(delay.next(rand::rng().random())).await;
            if replica.inner.is_stopped.get() {
                return;
            }
            attempts += 1;
            if replica.start_again().await {
                break;
            }
        }
        started = Instant::now();
        info!(replica.inner.parts.log, "replica started again from its data folder";
            "lost_ms" => lost_since.elapsed().as_millis() as u64, "attempts" => attempts);
    }
}
