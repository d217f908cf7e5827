use futures_channel::{mpsc, oneshot};
use futures_util::FutureExt;
use masticstair_core::catalog::CatalogDocument;
use masticstair_gateway::control::{CatalogStore, EvacuationStore, StoreError};
use masticstair_gateway::front_end::FrontEnd;
use masticstair_gateway::{GatewayEvent, GatewayParts, PeerHost, PeerView, Peers, run_gateway};
use masticstair_net::runtime::block_on;
use masticstair_policy::catalog_register::CatalogReply;
use masticstair_policy::evacuations::{EvacuationOrder, EvacuationReply};
use masticstair_policy::membership::HostState as MemberState;
use masticstair_store::state::{Answer, Command, Query, Reply};
use slog::error;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::StartError;
use crate::control::{ControlError, ControlHandle};
use crate::membership::{HostView, MembershipSnapshot};
use crate::state::HostState;

/// Wait limit for storing an order or a small catalog. It is below the second after which an operator tries another host.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Extension of `STORE_TIMEOUT` for each 64 KiB of the catalog.
const STORE_TIMEOUT_PER_64_KIB: Duration = Duration::from_millis(50);

/// Wait limit of a read of the catalog.
const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// A handle to the running gateway thread.
pub struct GatewayThread {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl GatewayThread {
    /// Stops accepting clients and waits until their requests have completed.
    pub fn stop(self) {
        // Sending fails only if the thread has already ended.
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

/// Starts the gateway thread. The process exits with status 1 if the gateway fails.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start_gateway(
    state: &Arc<HostState>,
    front_end: FrontEnd,
    events: mpsc::UnboundedReceiver<GatewayEvent>,
) -> Result<GatewayThread, StartError> {
    let (stop, stopped) = oneshot::channel::<()>();
    let state = state.clone();
    let run = move || {
        let log = state.log.clone();
        let main = async {
            match parts(&state, front_end, events) {
                // A dropped sender also means shutdown.
                Some(parts) => run_gateway(parts, stopped.map(|_| ())).await,
                None => Err(io::Error::other("the settings have no gateway table")),
            }
        };
        if let Err(e) | Ok(Err(e)) = block_on(main) {
            error!(log, "gateway failed; exiting"; "reason" => %e);
            // A host without its gateway serves no clients; the platform restarts the process.
            std::process::exit(1);
        }
    };
    let thread = thread::Builder::new().name("gateway".into()).spawn(run)?;
    Ok(GatewayThread { stop, thread })
}

fn parts(
    state: &Arc<HostState>,
    front_end: FrontEnd,
    events: mpsc::UnboundedReceiver<GatewayEvent>,
) -> Option<GatewayParts> {
    Some(GatewayParts {
        cfg: state.cfg.gateway.clone()?,
        host: state.cfg.host.clone(),
        incarnation: state.incarnation,
        data_centre: state.cfg.data_centre.clone(),
        disk_losses: state.cfg.disk_losses,
        front_end,
        log: state.log.clone(),
        metrics: state.metrics.gateway.clone(),
        peers: peers(state),
        store: CatalogStore { replace: replace_catalog(state), read: read_catalog(state) },
        evacuation_store: EvacuationStore { order: order_evacuation(state) },
        memory: state.memory.clone(),
        descriptors: state.cfg.descriptors,
        events,
    })
}

/// Returns a function that lists the hosts that may run, cached until the membership changes. Hosts with a data
/// folder are control hosts.
fn peers(state: &Arc<HostState>) -> Peers {
    let state = state.clone();
    let cached: RefCell<(Arc<MembershipSnapshot>, Rc<PeerView>)> = RefCell::default();
    Box::new(move || {
        let Some(membership) = state.membership.get() else { return Rc::default() };
        let snapshot = membership.snapshot();
        let mut cached = cached.borrow_mut();
        if !Arc::ptr_eq(&cached.0, &snapshot) {
            let hosts = snapshot.hosts.iter().chain(&snapshot.failed).map(peer_host).collect();
            let view = PeerView { hosts, joined: snapshot.synced };
            *cached = (snapshot, Rc::new(view));
        }
        cached.1.clone()
    })
}

fn peer_host(view: &HostView) -> PeerHost {
    PeerHost {
        host: view.record.host.clone(),
        data_centre: view.record.data_centre.clone(),
        is_control: view.record.durable,
        is_alive: view.record.state == MemberState::Alive,
        is_failed: view.record.state == MemberState::Failed,
        client: view.peer.clone(),
    }
}

type ReplaceCatalog = Box<
    dyn Fn(
        CatalogDocument,
    ) -> futures_util::future::LocalBoxFuture<'static, Result<CatalogReply, StoreError>>,
>;

fn replace_catalog(state: &Arc<HostState>) -> ReplaceCatalog {
    let state = state.clone();
    Box::new(move |document| {
        let state = state.clone();
        async move {
            let control = control(&state)?;
            let blocks = (document.content.len() / 65_536) as u32;
            let limit = STORE_TIMEOUT + STORE_TIMEOUT_PER_64_KIB * blocks;
            let reply = control.propose(&Command::Catalog(document), limit).await;
            let reply = match reply.map_err(store_error)? {
                Reply::Catalog(reply) => reply,
                other => return Err(StoreError::Unknown(format!("{other:?}").into())),
            };
            check_durable(&state, &control).await?;
            Ok(reply)
        }
        .boxed_local()
    })
}

type OrderEvacuation = Box<
    dyn Fn(
        EvacuationOrder,
    )
        -> futures_util::future::LocalBoxFuture<'static, Result<EvacuationReply, StoreError>>,
>;

fn order_evacuation(state: &Arc<HostState>) -> OrderEvacuation {
    let state = state.clone();
    Box::new(move |order| {
        let state = state.clone();
        async move {
            let control = control(&state)?;
            let reply = control.propose(&Command::Evacuation(order), STORE_TIMEOUT).await;
            let reply = match reply.map_err(store_error)? {
                Reply::Evacuation(reply) => reply,
                other => return Err(StoreError::Unknown(format!("{other:?}").into())),
            };
            check_durable(&state, &control).await?;
            Ok(reply)
        }
        .boxed_local()
    })
}

/// Checks that the group has the voters that `disk_losses` requires, as far as there are hosts with a data
/// folder. A group that was formed with fewer voters commits entries that are on too few disks: with three
/// voters an entry may be on two, both of which may be lost if `disk_losses` is 2.
async fn check_durable(state: &HostState, control: &ControlHandle) -> Result<(), StoreError> {
    let wanted = 2 * state.cfg.disk_losses + 1;
    // A group has three voters from its formation on.
    if wanted <= 3 {
        return Ok(());
    }
    let snapshot = state.membership.get().map(|m| m.snapshot()).unwrap_or_default();
    let durable = snapshot.hosts.iter().filter(|h| h.record.durable).count();
    let status = control.leader_status(STORE_TIMEOUT).await.map_err(store_error)?;
    let voters = status.voters.iter().filter(|v| v.voter).count();
    if voters < wanted.min(durable) {
        let reason = format!("the log has {voters} voters ({wanted} are wanted)");
        return Err(StoreError::Unknown(reason.into()));
    }
    Ok(())
}

type ReadCatalog = Box<
    dyn Fn() -> futures_util::future::LocalBoxFuture<
        'static,
        Result<Option<CatalogDocument>, StoreError>,
    >,
>;

fn read_catalog(state: &Arc<HostState>) -> ReadCatalog {
    let state = state.clone();
    Box::new(move || {
        let state = state.clone();
        async move {
            match control(&state)?.read(&Query::Catalog, READ_TIMEOUT).await.map_err(store_error)? {
                Answer::Catalog(document) => Ok(document),
                other => Err(StoreError::Unknown(format!("{other:?}").into())),
            }
        }
        .boxed_local()
    })
}

fn control(state: &HostState) -> Result<ControlHandle, StoreError> {
    let starting = || StoreError::NotStored("the control thread has not started".into());
    state.control.get().cloned().ok_or_else(starting)
}

fn store_error(e: ControlError) -> StoreError {
    match e {
        ControlError::NotProposed(reason) => StoreError::NotStored(reason),
        ControlError::Unknown(reason) => StoreError::Unknown(reason),
    }
}
