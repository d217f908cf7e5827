use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, StreamExt};
use masticstair_net::runtime::block_on;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::control_context::ControlContext;
use super::control_job::ControlJob;
use super::control_parts::{ControlParts, start_parts};
use super::{
    ControlStartError, ControlStatus, LeaderStatus, discovery, formation, maintenance, route,
};
use crate::membership::{MembershipContext, run_membership};
use crate::state::HostState;

/// Timeout of the leadership transfer at shutdown.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A handle to the running control thread.
pub struct ControlThread {
    /// The bound address for peers; its port is the actual one if the settings ask for port 0.
    pub peer_addr: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Transfers the leadership if the local replica leads, announces to the peers that the host leaves, and
    /// waits for the thread to end.
    pub fn stop(self) {
        // Sending fails only if the thread has already ended.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

/// Starts the control thread and sets `HostState::control` and `HostState::membership`.
///
/// # Errors
///
/// Fails if the peer address cannot be bound, the data folder cannot be opened or the thread cannot be
/// started.
pub fn start_control(state: &Arc<HostState>) -> Result<ControlThread, ControlStartError> {
    let (stop, stopped) = oneshot::channel();
    let (started_tx, started_rx) = std::sync::mpsc::channel();
    let host = state.clone();
    let run = move || {
        let main = run_control(&host, &started_tx, stopped);
        if let Err(e) = block_on(main) {
            let _ = started_tx.send(Err(e.into()));
        }
    };
    let thread = thread::Builder::new().name("control".into()).spawn(run)?;
    let ended = || {
        let cause = "the control thread ended during startup";
        ControlStartError::Thread(std::io::Error::other(cause))
    };
    let peer_addr = started_rx.recv().map_err(|_| ended())??;
    Ok(ControlThread { peer_addr, stop, thread })
}

type StartSender = std::sync::mpsc::Sender<Result<SocketAddr, ControlStartError>>;

async fn run_control(
    state: &Arc<HostState>,
    started: &StartSender,
    stopped: oneshot::Receiver<()>,
) {
    let parts = match start_parts(state) {
        Ok(parts) => parts,
        Err(e) => {
            // `start_control` waits for this message, so the receiver exists.
            let _ = started.send(Err(e));
            return;
        }
    };
    let ControlParts { cx, server, peer_addr, jobs, hooks } = parts;
    let _ = started.send(Ok(peer_addr));
    let (leave_tx, leave_rx) = oneshot::channel::<()>();
    let (close_tx, close_rx) = oneshot::channel::<()>();
    monoio::spawn(server.run(close_rx.map(|_| ())));
    monoio::spawn(answer_jobs(cx.clone(), jobs));
    if cx.replica.is_some() {
        monoio::spawn(formation::form_group(cx.clone()));
        monoio::spawn(discovery::discover_replicas(cx.clone()));
        monoio::spawn(maintenance::raise_floor(cx.clone()));
    }
    let membership = monoio::spawn(run_membership(MembershipContext {
        membership: cx.membership.clone(),
        peers: cx.peers.clone(),
        bundles: hooks,
        log: state.log.clone(),
        stop: leave_rx.map(|_| ()).boxed_local(),
    }));
    // A dropped sender also means shutdown.
    let _ = stopped.await;
    if let Some(replica) = &cx.replica {
        replica.stop(TRANSFER_TIMEOUT).await;
    }
    let _ = leave_tx.send(());
    membership.await;
    let _ = close_tx.send(());
}

/// Serves the requests of the other threads, each in its own task.
async fn answer_jobs(cx: ControlContext, mut jobs: mpsc::UnboundedReceiver<ControlJob>) {
    while let Some(job) = jobs.next().await {
        let cx = cx.clone();
        monoio::spawn(async move {
            // Sending fails if the requester no longer waits.
            match job {
                ControlJob::Propose(command, limit, tx) => {
                    let _ = tx.send(route::propose(&cx, command, limit).await);
                }
                ControlJob::Read(query, limit, tx) => {
                    let _ = tx.send(route::read(&cx, query, limit).await);
                }
                ControlJob::LeaderStatus(limit, tx) => {
                    let _ = tx.send(route::read(&cx, LeaderStatus::QUERY.into(), limit).await);
                }
                ControlJob::Survey(tx) => {
                    cx.survey.run().await;
                    let _ = tx.send(());
                }
                ControlJob::Status(tx) => {
                    let _ = tx.send(status(&cx));
                }
            }
        });
    }
}

fn status(cx: &ControlContext) -> ControlStatus {
    let node = cx.node().map(|node| node.status());
    let replica_fault = cx.replica.as_ref().and_then(|replica| replica.fault());
    let leader = node.as_ref().and_then(|n| n.leader.as_ref()).map(|l| l.host.clone());
    ControlStatus {
        node,
        replica_fault,
        leader: leader.or_else(|| cx.leader.host.borrow().clone()),
    }
}
