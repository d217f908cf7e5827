use futures_channel::{mpsc, oneshot};
use futures_util::{FutureExt, StreamExt};
use masticstair_net::peer::{PeerHandlers, PeerIdentity, PeerServer, ProtocolVersion};
use masticstair_net::runtime::block_on;
use slog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::context::ControlContext;
use super::handle::ControlJob;
use super::{
    ControlHandle, ControlStartError, ControlStatus, LeaderStatus, bundles, discovery, formation,
    handlers, maintenance, node_start, route,
};
use crate::membership::{
    Membership, MembershipConfig, MembershipContext, PeerPool, RevisionSurvey, install_handlers,
    run_membership,
};
use crate::state::HostState;

/// How long the leadership may take to change hands at a shutdown.
const TRANSFER_LIMIT: Duration = Duration::from_secs(2);

/// The running control thread.
pub struct ControlThread {
    /// Where it listens for peers.
    pub peer_addr: SocketAddr,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl ControlThread {
    /// Hands over the leadership, tells the peers that the host leaves, and waits for the end.
    pub fn stop(self) {
        // A thread that has ended needs no word.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

/// Starts the control thread and gives the state of the host its way to it.
///
/// # Errors
///
/// Fails when the peer address, the data folder or the thread cannot be used.
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
    let ended = || ControlStartError::Thread(std::io::Error::other("the control thread ended"));
    let peer_addr = started_rx.recv().map_err(|_| ended())??;
    Ok(ControlThread { peer_addr, stop, thread })
}

type Started = std::sync::mpsc::Sender<Result<SocketAddr, ControlStartError>>;

async fn run_control(state: &Arc<HostState>, started: &Started, stopped: oneshot::Receiver<()>) {
    let parts = match start_parts(state) {
        Ok(parts) => parts,
        Err(e) => {
            // The starter waits for this word; it cannot have gone.
            let _ = started.send(Err(e));
            return;
        }
    };
    let Parts { cx, server, peer_addr, storage, jobs, hooks } = parts;
    let _ = started.send(Ok(peer_addr));
    let (leave_tx, leave_rx) = oneshot::channel::<()>();
    let (close_tx, close_rx) = oneshot::channel::<()>();
    monoio::spawn(server.run(close_rx.map(|_| ())));
    monoio::spawn(answer_jobs(cx.clone(), jobs));
    if let Some(node) = &cx.node {
        monoio::spawn(formation::form_group(cx.clone(), node.clone()));
        monoio::spawn(discovery::discover_replicas(cx.clone(), node.clone()));
        monoio::spawn(maintenance::raise_floor(cx.clone(), node.clone()));
    }
    let membership = monoio::spawn(run_membership(MembershipContext {
        membership: cx.membership.clone(),
        peers: cx.peers.clone(),
        bundles: hooks,
        log: state.log.clone(),
        stop: leave_rx.map(|_| ()).boxed_local(),
    }));
    // A dropped sender means that the host is gone; stop as well.
    let _ = stopped.await;
    if let Some(node) = &cx.node {
        if let Err(e) = node.transfer_leadership(TRANSFER_LIMIT).await {
            info!(state.log, "leadership not transferred"; "reason" => %e);
        }
        node.stop();
    }
    let _ = leave_tx.send(());
    membership.await;
    let _ = close_tx.send(());
    if let Some(storage) = storage {
        // The storage may have failed before; the process ends either way.
        let _ = storage.close().await;
    }
}

struct Parts {
    cx: ControlContext,
    server: PeerServer,
    peer_addr: SocketAddr,
    storage: Option<masticstair_store::storage::StorageHandle>,
    jobs: mpsc::UnboundedReceiver<ControlJob>,
    hooks: Rc<crate::membership::BundleHooks>,
}

fn start_parts(state: &Arc<HostState>) -> Result<Parts, ControlStartError> {
    let identity = PeerIdentity {
        deployment: state.cfg.deployment.clone(),
        host: state.cfg.host.clone(),
        incarnation: state.incarnation,
        protocol: ProtocolVersion::CURRENT,
    };
    let clock = state.clock;
    let wanted = state.cfg.peer_listen;
    let bind_error = |source| ControlStartError::Bind { addr: wanted, source };
    let listener = PeerServer::listen(wanted).map_err(bind_error)?;
    let addr = listener.local_addr().map_err(bind_error)?;
    let membership = Membership::new(MembershipConfig {
        identity: identity.clone(),
        address: state.cfg.peer_address.unwrap_or(addr),
        data_centre: state.cfg.data_centre.clone(),
        durable: state.cfg.data_folder.is_some(),
        seeds: state.cfg.seeds.clone().into(),
        clock: Box::new(move || clock.now()),
    });
    let peers = Rc::new(PeerPool::new(identity.clone()));
    let hooks = bundles::hooks(state);
    let mut peer_handlers = PeerHandlers::refusing();
    install_handlers(&mut peer_handlers, &membership, &peers, &hooks, &state.log);
    let (mut node, mut storage) = (None, None);
    if let Some(folder) = &state.cfg.data_folder {
        let (started, handle) = node_start::start_node(state, &membership, &peers, folder)?;
        handlers::install(&mut peer_handlers, &started);
        (node, storage) = (Some(started), Some(handle));
    } else {
        handlers::install_without_replica(&mut peer_handlers);
    }
    handlers::install_gateway(&mut peer_handlers, state);
    let server = PeerServer::new(listener, identity, peer_handlers);
    let (handle, jobs) = ControlHandle::new();
    // A host starts its control thread once.
    let _ = state.control.set(handle);
    let _ = state.membership.set(membership.clone());
    let leader = Rc::default();
    let (survey_membership, survey_peers) = (membership.clone(), peers.clone());
    let survey =
        RevisionSurvey::new(survey_membership, survey_peers, hooks.clone(), state.log.clone());
    let survey = Rc::new(survey);
    let cx = ControlContext { state: state.clone(), membership, peers, node, leader, survey };
    Ok(Parts { cx, server, peer_addr: addr, storage, jobs, hooks })
}

/// Answers the other threads, each question by a task of its own.
async fn answer_jobs(cx: ControlContext, mut jobs: mpsc::UnboundedReceiver<ControlJob>) {
    while let Some(job) = jobs.next().await {
        let cx = cx.clone();
        monoio::spawn(async move {
            // Who asked may have stopped waiting.
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
    let node = cx.node.as_ref().map(|node| node.status());
    let leader = node.as_ref().and_then(|n| n.leader.as_ref()).map(|l| l.host.clone());
    ControlStatus { node, leader: leader.or_else(|| cx.leader.host.borrow().clone()) }
}
