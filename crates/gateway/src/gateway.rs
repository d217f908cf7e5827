use futures_channel::mpsc;
use http::HeaderValue;
use http::header::HOST;
use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::{AnswerRoom, RelayCall, RelayPool};
use masticstair_net::memory::MemoryAccount;
use masticstair_policy::directory::Directory;
use masticstair_policy::endpoint_limits::EndpointLimits;
use masticstair_policy::endpoint_liveness::EndpointLiveness;
use masticstair_policy::endpoint_pauses::EndpointPauses;
use masticstair_policy::evacuations::{EvacuationsInForce, PauseWatch};
use masticstair_policy::freshness::{ControlHostNews, known_until};
use masticstair_policy::planned_stop::PlannedStop;
use masticstair_policy::poison::PoisonTable;
use masticstair_policy::request_crashes::RequestCrashes;
use masticstair_policy::service_choice::{DataCentreReachability, EndpointHealth};
use masticstair_policy::service_retry_budget::{ServiceRetryBudget, ServiceRetryLimits};
use masticstair_policy::stream_versions::{SoftwareHistory, StreamRecords};
use masticstair_policy::warmups::{PermitOwnership, Warmups};
use slog::Logger;
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::control::{CatalogStore, EvacuationStore};
use crate::entry::StageTimes;
use crate::front_end::{EndpointCall, FrontEnd};
use crate::gateway_event::GatewayEvent;
use crate::stage_permits::StagePermits;
use crate::stages::{Owners, StageRegistry};
use crate::telemetry::GatewayMetrics;
use crate::update_links::UpdateLinks;
use crate::{CatalogInForce, GatewayConfig, GatewayParts, Notify, PeerHost, PeerView, Peers};

/// A control host that is reachable answers a subscription more often than this.
const CONTACT_TIME: Duration = Duration::from_millis(1_500);

/// A running gateway; its tasks share one thread.
pub struct Gateway {
    pub(crate) cfg: GatewayConfig,
    pub(crate) host: HostId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) disk_losses: usize,
    pub(crate) front_end: FrontEnd,
    pub(crate) log: Logger,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) catalog: CatalogInForce,
    pub(crate) directory: RefCell<Directory>,
    /// Data centres whose endpoints get no work.
    pub(crate) evacuations: RefCell<EvacuationsInForce>,
    /// Notified when `evacuations` changes.
    pub(crate) evacuations_changed: Notify,
    pub(crate) evacuation_store: EvacuationStore,
    /// Whether this process was paused a moment ago.
    pub(crate) pause_watch: Cell<PauseWatch>,
    pub(crate) health: RefCell<HashMap<EndpointId, EndpointHealth>>,
    pub(crate) reachability: RefCell<HashMap<DataCentreId, DataCentreReachability>>,
    pub(crate) pool: RelayPool,
    /// Connections for releases of results. Answers to releases are all alike, so one may still be due on such a connection,
    /// and no other call may get it.
    pub(crate) release_pool: RelayPool,
    /// The memory that the process spends on its clients.
    pub(crate) memory: MemoryAccount,
    /// The descriptors that the process may open.
    pub(crate) descriptors: Slots,
    /// The memory of the answers that are read whole, and of events that have not ended.
    pub(crate) answer_room: AnswerRoom,
    pub(crate) stages: StageRegistry,
    pub(crate) owners: Owners,
    /// Apart from `owners`, because a host that gives a permit late may still form the calls of its stages.
    pub(crate) permit_owners: Owners,
    pub(crate) stage_times: StageTimes,
    /// The limits that endpoints name for the requests of all hosts together.
    pub(crate) limits: RefCell<EndpointLimits>,
    /// Which endpoints are cold.
    pub(crate) warmups: RefCell<Warmups>,
    /// Whether this host gives the permits for cold endpoints.
    pub(crate) permit_ownership: RefCell<PermitOwnership>,
    pub(crate) stage_permits: StagePermits,
    /// For how long endpoints want nothing from this host.
    pub(crate) pauses: RefCell<EndpointPauses>,
    /// Which parts of prompts crash engines, as far as all hosts together know.
    pub(crate) poison: RefCell<PoisonTable>,
    /// When each control host last answered a subscription of this host; only those that it subscribes to.
    pub(crate) last_contacts: RefCell<HashMap<HostId, Timestamp>>,
    /// What is known of the catalog of each control host; only those that this host subscribes to.
    pub(crate) control_news: RefCell<HashMap<HostId, ControlHostNews>>,
    /// Not before this time the next catalog is to be installed.
    pub(crate) next_install: Cell<Timestamp>,
    /// Which requests crash endpoints, as far as all hosts together know.
    pub(crate) request_crashes: RefCell<RequestCrashes>,
    /// Who wrote the streams that clients may take up: those of this host, and copies on control hosts.
    pub(crate) streams: RefCell<StreamRecords>,
    /// Which software versions the services had lately.
    pub(crate) software: RefCell<SoftwareHistory>,
    pub(crate) update_links: UpdateLinks,
    pub(crate) liveness: RefCell<EndpointLiveness>,
    /// Notified when `poison`, `request_crashes`, `limits` or the departures in `directory` change.
    pub(crate) findings_changed: Notify,
    /// Whether a control host has been asked for its findings on prompts and endpoints since the start.
    pub(crate) has_findings: Cell<bool>,
    /// Distinguishes this process from its restarts.
    pub(crate) incarnation: Incarnation,
    /// Whether enough control hosts have confirmed that the catalog in force is the newest.
    pub(crate) is_current: Cell<bool>,
    /// Client requests in progress.
    pub(crate) in_flight: Rc<Cell<u32>>,
    retry_budget: RefCell<ServiceRetryBudget>,
    peers: Peers,
    /// Present once this host was told to stop.
    pub(crate) planned_stop: Cell<Option<PlannedStop>>,
    /// Notified when `planned_stop` ends.
    pub(crate) stop_ended: Notify,
    started: Instant,
}

impl Gateway {
    /// Creates a gateway without catalog or endpoints. Returns the parts that its tasks own besides it.
    pub(crate) fn new(
        parts: GatewayParts,
    ) -> (Self, CatalogStore, mpsc::UnboundedReceiver<GatewayEvent>) {
        let gateway = Self {
            cfg: parts.cfg,
            host: parts.host,
            data_centre: parts.data_centre,
            disk_losses: parts.disk_losses,
            front_end: parts.front_end,
            log: parts.log,
            metrics: parts.metrics,
            catalog: CatalogInForce::default(),
            directory: RefCell::default(),
            evacuations: RefCell::default(),
            evacuations_changed: Notify::default(),
            evacuation_store: parts.evacuation_store,
            pause_watch: Cell::default(),
            health: RefCell::default(),
            reachability: RefCell::default(),
            pool: RelayPool::new(parts.memory.clone()),
            release_pool: RelayPool::new(parts.memory.clone()),
            answer_room: AnswerRoom::new(parts.memory.clone()),
            memory: parts.memory,
            descriptors: parts.descriptors,
            stages: StageRegistry::default(),
            owners: Owners::default(),
            permit_owners: Owners::default(),
            stage_times: StageTimes::default(),
            limits: RefCell::default(),
            warmups: RefCell::default(),
            permit_ownership: RefCell::default(),
            stage_permits: StagePermits::default(),
            pauses: RefCell::default(),
            poison: RefCell::default(),
            request_crashes: RefCell::default(),
            streams: RefCell::default(),
            software: RefCell::default(),
            update_links: UpdateLinks::default(),
            liveness: RefCell::default(),
            last_contacts: RefCell::default(),
            control_news: RefCell::default(),
            next_install: Cell::default(),
            findings_changed: Notify::default(),
            has_findings: Cell::new(false),
            incarnation: parts.incarnation,
            is_current: Cell::new(false),
            in_flight: Rc::default(),
            retry_budget: RefCell::default(),
            peers: parts.peers,
            planned_stop: Cell::default(),
            stop_ended: Notify::default(),
            started: Instant::now(),
        };
        (gateway, parts.store, parts.events)
    }

    /// Returns the time of the monotonic clock of the process. It starts above zero, because zero stands for
    /// "never".
    pub fn now(&self) -> Timestamp {
        Timestamp::new(1 + self.started.elapsed().as_micros() as u64)
    }

    /// Returns whether this host no longer accepts clients.
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    /// Returns the current view of the hosts.
    pub(crate) fn peers(&self) -> Rc<PeerView> {
        (self.peers)()
    }

    /// Returns the number of hosts that take clients, including this one.
    pub(crate) fn entry_host_count(&self) -> usize {
        self.peers().hosts.iter().filter(|h| !h.is_control).count()
    }

    /// Returns the other control hosts, and whether this host has joined the deployment. Those that count as failed are
    /// among them, because updates must not depend on failure detection: after this host was cut off it counts all
    /// others as failed.
    pub(crate) fn control_hosts(&self) -> (Vec<PeerHost>, bool) {
        let view = self.peers();
        let others = view.hosts.iter().filter(|h| h.is_control && h.client.is_some());
        (others.cloned().collect(), view.joined)
    }

    /// Returns the other control hosts that have answered a subscription in the last `CONTACT_TIME`, and those that have
    /// not.
    pub(crate) fn control_contacts(&self) -> (Vec<HostId>, Vec<HostId>) {
        let (now, contacts) = (self.now(), self.last_contacts.borrow());
        let answers =
            |host: &HostId| contacts.get(host).is_some_and(|at| now.since(*at) < CONTACT_TIME);
        let mut hosts: Vec<_> = self.control_hosts().0.into_iter().map(|h| h.host).collect();
        hosts.sort_unstable();
        hosts.into_iter().partition(answers)
    }

    /// Returns for how long this host may lack changes of the catalog.
    pub(crate) fn news_age(&self) -> Duration {
        let (hosts, _) = self.control_hosts();
        let (news, in_force) = (self.control_news.borrow(), self.catalog.version());
        let confirmed_at = |h: &PeerHost| {
            news.get(&h.host).map(|news| news.confirmed_at(in_force)).unwrap_or_default()
        };
        let mut confirmed_at: SmallVec<[Timestamp; 8]> = hosts.iter().map(confirmed_at).collect();
        if self.cfg.control_listen.is_some() {
            confirmed_at.push(self.now());
        }
        self.now().since(known_until(&mut confirmed_at, self.disk_losses))
    }

    /// Returns the batch limits of a stage service; none if the service runs no stages or is not in the
    /// catalog.
    pub(crate) fn batch_limits(&self, service: &ServiceName) -> Option<BatchLimits> {
        self.catalog.get()?.services.get(service)?.batch
    }

    /// Counts requests for a service towards the retry budget.
    pub(crate) fn record_requests(&self, service: &ServiceName, count: u32) {
        let limits = self.retry_limits();
        for _ in 0..count {
            self.retry_budget.borrow_mut().record_request(self.now(), &limits, service);
        }
    }

    /// Takes a retry for a service from the budget; returns whether one was left.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let limits = self.retry_limits();
        self.retry_budget.borrow_mut().try_take_retry(self.now(), &limits, service)
    }

    fn retry_limits(&self) -> ServiceRetryLimits {
        ServiceRetryLimits {
            ratio: self.cfg.retry_ratio,
            allowance: self.cfg.retry_allowance,
            window: self.cfg.retry_window.duration(),
            hosts: self.entry_host_count(),
        }
    }

    /// Addresses a call that the gateway originates.
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
