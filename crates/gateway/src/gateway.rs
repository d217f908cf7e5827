use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use http::HeaderValue;
use http::header::HOST;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::{RelayCall, RelayPool};
use masticstair_net::http::server::{ConnectionCount, Handler, ServerLimits, bind, serve};
use masticstair_policy::directory::Directory;
use masticstair_policy::repeat_budget::{BudgetTerms, RepeatBudget};
use masticstair_policy::service_choice::EndpointHealth;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::control::{CatalogStore, ControlHost, answer_control};
use crate::entry::{
    StageTimes, answer_ready, answer_request, follow_control_hosts, follow_own_table,
};
use crate::event::GatewayEvent;
use crate::front_end::{EndpointCall, FrontEnd};
use crate::messages::{Message, Reply, decode, encode};
use crate::stages::{
    Owners, StageDispatch, cancel_stage, give_back_stages, pump_all, release_results, run_stage,
};
use crate::telemetry::GatewayMetrics;
use crate::{CatalogInForce, GatewayConfig, PeerHost, Peers};

/// How often endpoints that fell silent are looked for, and unused connections are closed.
const HOUSEKEEPING: Duration = Duration::from_millis(250);

/// Unused connections are closed after this time; endpoints do so after several seconds.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// How long the load balancer takes to see that this host takes no more clients: two probes of a second
/// each, and the way.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);

/// The time that is kept at the end of the grace for the process itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// The largest head of a request to a control host, in bytes.
const CONTROL_HEAD: u64 = 65_536;

/// The largest catalog, in bytes; a command of the log has at most 17 MiB.
const CONTROL_BODY: u64 = 16 << 20;

/// Connections that a gateway takes.
const CONNECTIONS: Slots = Slots::new(3_000);

/// Requests on one connection; clients keep connections for as long as they like.
const REQUESTS_PER_CONNECTION: Slots = Slots::new(u32::MAX);

/// What a gateway is made of.
pub struct GatewayParts {
    /// The settings.
    pub cfg: GatewayConfig,
    /// The name of this host.
    pub host: HostId,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The data centre of this host.
    pub data_centre: DataCentreId,
    /// The encoding of the messages.
    pub front_end: FrontEnd,
    /// Gets a line for each decision.
    pub log: Logger,
    /// Counts.
    pub metrics: GatewayMetrics,
    /// The other hosts.
    pub peers: Peers,
    /// The way to the replicated log.
    pub store: CatalogStore,
    /// Messages of other gateways and catalogs of the replicated log.
    pub events: mpsc::UnboundedReceiver<GatewayEvent>,
}

/// A running gateway; its tasks share one thread.
pub struct Gateway {
    pub(crate) cfg: GatewayConfig,
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) front_end: FrontEnd,
    pub(crate) log: Logger,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) catalog: CatalogInForce,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) health: RefCell<HashMap<EndpointId, EndpointHealth>>,
    pub(crate) pool: RelayPool,
    pub(crate) stages: StageDispatch,
    pub(crate) owners: Owners,
    pub(crate) stage_times: StageTimes,
    /// Whether enough control hosts have confirmed that the catalog in force is the newest.
    pub(crate) is_current: Cell<bool>,
    /// Requests in progress.
    pub(crate) in_flight: Rc<Cell<u32>>,
    budget: RefCell<RepeatBudget>,
    peers: Peers,
    stopping: Cell<bool>,
    started: Instant,
}

impl Gateway {
    /// Returns the time on the monotonic clock of the process. It begins above zero, so that zero can stand
    /// for "never".
    pub fn now(&self) -> Timestamp {
        Timestamp::new(1 + self.started.elapsed().as_micros() as u64)
    }

    /// Tells whether this host takes no more clients.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Returns the live hosts, this one included.
    pub(crate) fn hosts(&self) -> Vec<PeerHost> {
        (self.peers)().0
    }

    /// Returns the hosts that take clients, this one included.
    pub(crate) fn entry_hosts(&self) -> Vec<PeerHost> {
        self.hosts().into_iter().filter(|h| !h.is_control).collect()
    }

    /// Returns the control hosts but for this one, and whether this host has joined the others.
    pub(crate) fn control_hosts(&self) -> (Vec<PeerHost>, bool) {
        let (hosts, joined) = (self.peers)();
        (hosts.into_iter().filter(|h| h.is_control && h.client.is_some()).collect(), joined)
    }

    /// Notes requests for a service in the budget for repeats.
    pub(crate) fn note_requests(&self, service: &ServiceName, count: u32) {
        let terms = self.budget_terms();
        for _ in 0..count {
            self.budget.borrow_mut().note_request(self.now(), &terms, service);
        }
    }

    /// Takes a repeat for a service from the budget.
    pub(crate) fn take_repeat(&self, service: &ServiceName) -> bool {
        let terms = self.budget_terms();
        self.budget.borrow_mut().take_repeat(self.now(), &terms, service)
    }

    fn budget_terms(&self) -> BudgetTerms {
        BudgetTerms {
            ratio: self.cfg.repeat_ratio,
            allowance: self.cfg.repeat_allowance,
            window: self.cfg.repeat_window.duration(),
            hosts: self.entry_hosts().len(),
        }
    }

    /// Changes what is known of an endpoint.
    pub(crate) fn with_health<T>(
        &self,
        id: &EndpointId,
        f: impl FnOnce(&mut EndpointHealth) -> T,
    ) -> T {
        f(self.health.borrow_mut().entry(id.clone()).or_default())
    }

    /// Addresses a call of the gateway itself.
    pub(crate) fn relay_call(
        &self,
        call: EndpointCall,
        addr: SocketAddr,
        connect_timeout: Duration,
        max_idle: Duration,
    ) -> RelayCall {
        let EndpointCall { method, target, mut headers, body } = call;
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            headers.insert(HOST, host);
        }
        RelayCall { addr, method, target, headers, body, connect_timeout, max_idle }
    }
}

/// Runs a gateway until `stop` completes and its requests have ended.
///
/// # Errors
///
/// Returns the error of the operating system when an address cannot be bound.
pub async fn run_gateway(
    parts: GatewayParts,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    let GatewayParts { cfg, host, incarnation, data_centre, front_end, log, .. } = parts;
    let gw = Rc::new(Gateway {
        host,
        data_centre,
        front_end,
        log,
        metrics: parts.metrics,
        catalog: CatalogInForce::default(),
        directory: RefCell::default(),
        health: RefCell::default(),
        pool: RelayPool::default(),
        stages: StageDispatch::default(),
        owners: Owners::default(),
        stage_times: StageTimes::default(),
        is_current: Cell::new(false),
        in_flight: Rc::default(),
        budget: RefCell::default(),
        peers: parts.peers,
        stopping: Cell::new(false),
        started: Instant::now(),
        cfg,
    });
    let control = gw.cfg.control_listen.map(|_| {
        let host = ControlHost::new(gw.now(), incarnation, gw.cfg.heartbeat, parts.store);
        Rc::new(host)
    });
    let (close_tx, close_rx) = futures_channel::oneshot::channel::<()>();
    let closed = close_rx.map(|_| ()).boxed_local().shared();
    start_listeners(&gw, control.as_ref(), &closed)?;
    monoio::spawn(take_events(gw.clone(), control.clone(), parts.events));
    monoio::spawn(keep_house(gw.clone(), control.clone()));
    if let Some(control) = &control {
        monoio::spawn(follow_own_table(gw.clone(), control.clone()));
    }
    monoio::spawn(follow_control_hosts(gw.clone()));
    stop.await;
    stop_gateway(&gw, control.as_deref(), close_tx).await;
    Ok(())
}

type Closed = Shared<LocalBoxFuture<'static, ()>>;

fn start_listeners(
    gw: &Rc<Gateway>,
    control: Option<&Rc<ControlHost>>,
    closed: &Closed,
) -> io::Result<()> {
    if let Some(addr) = gw.cfg.listen {
        let entry = gw.clone();
        let handler: Handler = Rc::new(move |req| answer_request(entry.clone(), req).boxed_local());
        listen(addr, client_limits(), handler, closed)?;
    }
    if let Some(addr) = gw.cfg.ready_listen.filter(|addr| gw.cfg.listen != Some(*addr)) {
        let entry = gw.clone();
        let handler: Handler =
            Rc::new(move |req| std::future::ready(answer_ready(&entry, &req)).boxed_local());
        listen(addr, client_limits(), handler, closed)?;
    }
    if let (Some(addr), Some(control)) = (gw.cfg.control_listen, control) {
        let (gw, control) = (gw.clone(), control.clone());
        let handler: Handler =
            Rc::new(move |req| answer_control(gw.clone(), control.clone(), req).boxed_local());
        listen(addr, control_limits(), handler, closed)?;
    }
    Ok(())
}

fn listen(
    addr: SocketAddr,
    limits: ServerLimits,
    handler: Handler,
    closed: &Closed,
) -> io::Result<()> {
    let listener = bind(addr)?;
    let serving = serve(listener, limits, ConnectionCount::default(), handler, closed.clone());
    monoio::spawn(serving);
    Ok(())
}

/// Bounds on clients. They are those of the catalog where it allows less than these.
fn client_limits() -> ServerLimits {
    let limits = masticstair_core::catalog::ClientLimits::default();
    ServerLimits {
        head: limits.head,
        // The time for a head begins when the connection is idle.
        head_timeout: limits.idle,
        body: limits.body,
        large: None,
        body_timeout: limits.idle,
        requests_per_connection: REQUESTS_PER_CONNECTION,
        connections: CONNECTIONS,
    }
}

fn control_limits() -> ServerLimits {
    ServerLimits { head: CONTROL_HEAD.into(), body: CONTROL_BODY.into(), ..client_limits() }
}

/// Takes messages and catalogs of other threads, each message by a task of its own.
async fn take_events(
    gw: Rc<Gateway>,
    control: Option<Rc<ControlHost>>,
    mut events: mpsc::UnboundedReceiver<GatewayEvent>,
) {
    while let Some(event) = events.next().await {
        match event {
            GatewayEvent::Catalog(document) => {
                install_catalog(&gw, &document.content);
                if let Some(control) = &control {
                    control.changed.notify();
                }
            }
            GatewayEvent::Message { from, content, reply } => {
                let (gw, control) = (gw.clone(), control.clone());
                monoio::spawn(async move {
                    let answer = answer_message(&gw, control.as_deref(), from, &content).await;
                    match answer.and_then(|answer| encode(&answer)) {
                        // A peer that is gone needs no answer.
                        Ok(answer) => drop(reply.send(answer)),
                        Err(e) => warn!(gw.log, "message not answered"; "reason" => e.as_ref()),
                    }
                });
            }
        }
    }
}

async fn answer_message(
    gw: &Rc<Gateway>,
    control: Option<&ControlHost>,
    from: HostId,
    content: &[u8],
) -> Result<Reply, Box<str>> {
    Ok(match (decode(content)?, control) {
        (Message::Follow(request), Some(control)) => {
            let reply = crate::control::answer_follow(gw, control, request).await;
            Reply::Follow(Box::new(reply))
        }
        (Message::Follow(_), None) => Reply::Refused("this host is no control host".into()),
        (Message::Stage(_), _) if gw.is_stopping() => Reply::Refused("this host stops".into()),
        (Message::Stage(request), _) => Reply::Stage(run_stage(gw, from, *request).await),
        (Message::Cancel(cancel), _) => {
            cancel_stage(gw, from, cancel);
            Reply::Done
        }
        (Message::Release(release), _) => {
            let stages = gw.stages.service_of(&release.service);
            release_results(gw, &stages, release.results);
            Reply::Done
        }
        (Message::Ping, _) => Reply::Done,
    })
}

/// Puts a catalog in force if it is newer than the one before.
pub(crate) fn install_catalog(gw: &Gateway, content: &[u8]) {
    match (gw.front_end.read_catalog)(content) {
        Ok((document, catalog)) => {
            let version = document.version;
            let (routes, services) = (catalog.routes.len(), catalog.services.len());
            if gw.catalog.advance(document, catalog) {
                gw.metrics.catalog.set(version.get() as i64);
                info!(gw.log, "catalog in force"; "version" => %version, "routes" => routes,
                    "services" => services);
            }
        }
        Err(e) => warn!(gw.log, "stored catalog cannot be read"; "reason" => %e),
    }
}

async fn keep_house(gw: Rc<Gateway>, control: Option<Rc<ControlHost>>) {
    loop {
        monoio::time::sleep(HOUSEKEEPING).await;
        gw.pool.close_idle(IDLE_LIMIT);
        gw.metrics.connections.set(gw.pool.opened() as i64);
        if let Some(control) = &control {
            let silent = control.table.borrow_mut().expire(gw.now());
            for id in &silent {
                info!(gw.log, "endpoint fell silent"; "endpoint" => %id);
            }
            if !silent.is_empty() {
                control.changed.notify();
            }
        }
        let changed = gw.directory.borrow_mut().refresh(gw.now());
        if changed {
            note_endpoints(&gw);
        }
    }
}

/// Notes that the endpoints that take work have changed.
pub(crate) fn note_endpoints(gw: &Rc<Gateway>) {
    let ready = gw.directory.borrow().ready_count();
    gw.metrics.endpoints.set(ready as i64);
    info!(gw.log, "endpoints changed"; "ready" => ready);
    pump_all(gw);
}

/// Tells the load balancer to send no more clients, and lets the requests in progress end.
async fn stop_gateway(
    gw: &Rc<Gateway>,
    control: Option<&ControlHost>,
    close: futures_channel::oneshot::Sender<()>,
) {
    gw.stopping.set(true);
    let grace = gw.cfg.grace.duration().saturating_sub(GRACE_MARGIN);
    let until = gw.now().plus(grace);
    info!(gw.log, "gateway stops"; "in_flight" => gw.in_flight.get());
    if let Some(control) = control {
        control.changed.notify();
    }
    give_back_stages(gw);
    if gw.cfg.listen.is_some() {
        monoio::time::sleep(LEAVE_NOTICE.min(grace)).await;
    }
    // The listeners are there as long as the receiver is.
    let _ = close.send(());
    while (gw.in_flight.get() > 0 || gw.stages.is_busy()) && gw.now() < until {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    // The last answers leave.
    monoio::time::sleep(Duration::from_millis(50)).await;
    info!(gw.log, "gateway stopped"; "cut" => gw.in_flight.get());
}
