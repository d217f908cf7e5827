use futures_channel::mpsc;
use http::HeaderValue;
use http::header::HOST;
use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::{RelayCall, RelayError, RelayPool};
use masticstair_policy::directory::{DepartureNotice, Directory, ServingEndpoint};
use masticstair_policy::endpoint_limits::{EndpointLimits, LimitNotice};
use masticstair_policy::endpoint_liveness::EndpointLiveness;
use masticstair_policy::endpoint_pauses::EndpointPauses;
use masticstair_policy::poison::PoisonTable;
use masticstair_policy::request_crashes::RequestCrashes;
use masticstair_policy::service_choice::{DataCentreReachability, EndpointHealth};
use masticstair_policy::service_retry_budget::{ServiceRetryBudget, ServiceRetryLimits};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::control::CatalogStore;
use crate::entry::StageTimes;
use crate::front_end::{AnswerMeta, EndpointCall, FrontEnd};
use crate::gateway_event::GatewayEvent;
use crate::stages::{Owners, StageRegistry};
use crate::telemetry::GatewayMetrics;
use crate::{CatalogInForce, GatewayConfig, GatewayParts, Notify, PeerHost, PeerView, Peers};

/// A control host that is reachable answers a subscription more often than this.
const CONTACT_TIME: Duration = Duration::from_secs(1);

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
    reachability: RefCell<HashMap<DataCentreId, DataCentreReachability>>,
    pub(crate) pool: RelayPool,
    pub(crate) stages: StageRegistry,
    pub(crate) owners: Owners,
    /// Apart from `owners`, because a host that gives a permit late may still form the calls of its stages.
    pub(crate) permit_owners: Owners,
    pub(crate) stage_times: StageTimes,
    /// The limits that endpoints name for the requests of all hosts together.
    pub(crate) limits: RefCell<EndpointLimits>,
    /// For how long endpoints want nothing from this host.
    pub(crate) pauses: RefCell<EndpointPauses>,
    /// Which parts of prompts crash engines, as far as all hosts together know.
    pub(crate) poison: RefCell<PoisonTable>,
    /// When each control host last answered a subscription of this host; only those that it subscribes to.
    pub(crate) control_contacts: RefCell<HashMap<HostId, Timestamp>>,
    /// Which requests crash endpoints, as far as all hosts together know.
    pub(crate) request_crashes: RefCell<RequestCrashes>,
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
    stopping: Cell<bool>,
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
            front_end: parts.front_end,
            log: parts.log,
            metrics: parts.metrics,
            catalog: CatalogInForce::default(),
            directory: RefCell::default(),
            health: RefCell::default(),
            reachability: RefCell::default(),
            pool: RelayPool::default(),
            stages: StageRegistry::default(),
            owners: Owners::default(),
            permit_owners: Owners::default(),
            stage_times: StageTimes::default(),
            limits: RefCell::default(),
            pauses: RefCell::default(),
            poison: RefCell::default(),
            request_crashes: RefCell::default(),
            liveness: RefCell::default(),
            control_contacts: RefCell::default(),
            findings_changed: Notify::default(),
            has_findings: Cell::new(false),
            incarnation: parts.incarnation,
            is_current: Cell::new(false),
            in_flight: Rc::default(),
            retry_budget: RefCell::default(),
            peers: parts.peers,
            stopping: Cell::new(false),
            started: Instant::now(),
        };
        (gateway, parts.store, parts.events)
    }

    /// Stops accepting clients.
    pub(crate) fn begin_stop(&self) {
        self.stopping.set(true);
    }

    /// Returns the time of the monotonic clock of the process. It starts above zero, because zero stands for
    /// "never".
    pub fn now(&self) -> Timestamp {
        Timestamp::new(1 + self.started.elapsed().as_micros() as u64)
    }

    /// Returns whether this host no longer accepts clients.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
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

    /// Returns the number of control hosts that have answered a subscription in the last `CONTACT_TIME`.
    pub(crate) fn contact_count(&self) -> usize {
        let now = self.now();
        let contacts = self.control_contacts.borrow();
        contacts.values().filter(|at| now.since(**at) < CONTACT_TIME).count()
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

    /// Returns the endpoints of a service that take new work from this host. Data centres that it cannot reach are
    /// left out while endpoints in others remain.
    pub(crate) fn endpoints(&self, service: &ServiceName) -> Arc<[Arc<ServingEndpoint>]> {
        let ready = self.without_paused(self.directory.borrow().ready(service));
        let now = self.now();
        let reachability = self.reachability.borrow();
        let is_reachable = |e: &&Arc<ServingEndpoint>| {
            !reachability
                .get(&e.data_centre)
                .is_some_and(|reachability| reachability.is_in_backoff(now))
        };
        let reachable = ready.iter().filter(is_reachable).count();
        match reachable {
            0 => ready,
            _ if reachable == ready.len() => ready,
            _ => ready.iter().filter(is_reachable).cloned().collect(),
        }
    }

    fn without_paused(&self, ready: Arc<[Arc<ServingEndpoint>]>) -> Arc<[Arc<ServingEndpoint>]> {
        let is_paused = |e: &Arc<ServingEndpoint>| !self.pause_of(e).is_zero();
        match ready.iter().any(is_paused) {
            false => ready,
            true => ready.iter().filter(|e| !is_paused(e)).cloned().collect(),
        }
    }

    /// Returns for how long an endpoint must get nothing from this host.
    pub(crate) fn pause_of(&self, endpoint: &ServingEndpoint) -> Duration {
        self.pauses.borrow().left(self.now(), &endpoint.id, endpoint.incarnation)
    }

    /// Returns the time until the first endpoint of a service takes work from this host again, if all of them have asked
    /// it for a pause.
    pub(crate) fn service_pause(&self, service: &ServiceName) -> Option<Duration> {
        let ready = self.directory.borrow().ready(service);
        let first = ready.iter().map(|e| self.pause_of(e)).min()?;
        Some(first).filter(|left| !left.is_zero())
    }

    /// Records that a request is about to be sent to an endpoint.
    pub(crate) fn record_request(&self, endpoint: &ServingEndpoint) {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        self.pauses.borrow_mut().record_request(self.now(), id, incarnation);
    }

    /// Records what any answer of an endpoint says of the endpoint, whichever request it belongs to.
    pub(crate) fn record_answer(&self, endpoint: &ServingEndpoint, meta: &AnswerMeta) {
        self.liveness.borrow_mut().record_answer(self.now(), &endpoint.id);
        if meta.leaving {
            self.record_departure(endpoint);
        }
    }

    /// Records whether the answer to a request that was sent at `sent_at` asks for a pause.
    pub(crate) fn record_pause(
        &self,
        endpoint: &ServingEndpoint,
        meta: &AnswerMeta,
        sent_at: Timestamp,
    ) {
        if meta.is_other_endpoint {
            return;
        }
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let mut pauses = self.pauses.borrow_mut();
        let Some(pause) = meta.pause else {
            pauses.record_answer(id, incarnation, sent_at);
            return;
        };
        if pauses.record(self.now(), id, incarnation, pause) {
            info!(self.log, "endpoint asks this host for a pause"; "endpoint" => %id,
                "incarnation" => %incarnation, "service" => %endpoint.service,
                "pause_ms" => pause.get());
        }
    }

    /// Records whether the data centre of an endpoint was reachable for a call. Only connect errors count as
    /// failures.
    pub(crate) fn record_reachability(
        &self,
        endpoint: &ServingEndpoint,
        error: Option<&RelayError>,
    ) {
        let mut all = self.reachability.borrow_mut();
        let reachability = all.entry(endpoint.data_centre.clone()).or_default();
        match error {
            None => reachability.record_answer(),
            Some(RelayError::Connect { .. } | RelayError::ConnectTimeout(..)) => {
                let was_in_backoff = reachability.is_in_backoff(self.now());
                reachability.record_failure(self.now());
                if !was_in_backoff && reachability.is_in_backoff(self.now()) {
                    slog::warn!(self.log,
                        "cannot connect to data centre; using endpoints in others while any are ready";
                        "data_centre" => %endpoint.data_centre, "endpoint" => %endpoint.id);
                }
            }
            Some(_) => {}
        }
    }

    /// Accesses the health record of an endpoint; the first access creates it.
    pub(crate) fn with_health<T>(
        &self,
        id: &EndpointId,
        f: impl FnOnce(&mut EndpointHealth) -> T,
    ) -> T {
        f(self.health.borrow_mut().entry(id.clone()).or_default())
    }

    /// Records that an endpoint stated in an answer that it is leaving, so that it gets no more work from this host.
    /// Its announcements may reach the control hosts later, or not at all.
    fn record_departure(&self, endpoint: &ServingEndpoint) {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        if self.directory.borrow_mut().record_departure(self.now(), id, incarnation) {
            self.findings_changed.notify();
            info!(self.log, "endpoint states that it is leaving"; "endpoint" => %id,
                "incarnation" => %incarnation, "service" => %endpoint.service);
            self.metrics.endpoints.set(self.directory.borrow().ready_count() as i64);
        }
    }

    /// Merges what other hosts know of leaving endpoints.
    pub(crate) fn merge_departures(&self, notices: Vec<DepartureNotice>) {
        if !notices.is_empty() && self.directory.borrow_mut().merge_departures(self.now(), notices)
        {
            self.findings_changed.notify();
            self.metrics.endpoints.set(self.directory.borrow().ready_count() as i64);
        }
    }

    /// Returns whether an endpoint still takes new work from this host. That may have changed while a request waited.
    pub(crate) fn takes_work(&self, endpoint: &ServingEndpoint) -> bool {
        self.directory.borrow().is_ready(endpoint) && self.pause_of(endpoint).is_zero()
    }

    /// Records the limit that an answer of an endpoint names, or that it names none; the request was sent at `sent_at`.
    pub(crate) fn record_limit(
        &self,
        endpoint: &ServingEndpoint,
        limit: Option<RatePerSecond>,
        sent_at: Timestamp,
    ) {
        let changed =
            self.limits.borrow_mut().record(&endpoint.id, endpoint.incarnation, limit, sent_at);
        if !changed {
            return;
        }
        self.on_limits_changed();
        info!(self.log, "endpoint changed its limit"; "endpoint" => %endpoint.id,
            "incarnation" => %endpoint.incarnation, "service" => %endpoint.service,
            "limit_per_s" => limit.map(RatePerSecond::get));
    }

    /// Returns whether an endpoint names a limit for the requests of all hosts.
    pub(crate) fn is_limited(&self, endpoint: &ServingEndpoint) -> bool {
        let limits = self.limits.borrow();
        limits.limit(self.now(), &endpoint.id, endpoint.incarnation).is_some()
    }

    /// Merges what other hosts know of the limits of endpoints.
    pub(crate) fn merge_limits(&self, notices: Vec<LimitNotice>) {
        if !notices.is_empty() && self.limits.borrow_mut().merge(self.now(), notices) {
            self.on_limits_changed();
        }
    }

    fn on_limits_changed(&self) {
        let limited = self.limits.borrow().limited_count();
        self.metrics.limited_endpoints.set(limited as i64);
        self.findings_changed.notify();
    }

    /// Changes the evidence on prompts with `f`, which returns whether it did. Tells the other hosts, and logs verdicts
    /// that are new or have gone.
    pub(crate) fn change_evidence(&self, f: impl FnOnce(&mut PoisonTable, Timestamp) -> bool) {
        let before = self.poison.borrow().verdicts().to_vec();
        if !f(&mut self.poison.borrow_mut(), self.now()) {
            return;
        }
        let table = self.poison.borrow();
        let verdicts = table.verdicts();
        for verdict in verdicts.iter().filter(|v| !before.iter().any(|b| b.parts == v.parts)) {
            warn!(self.log, "prompts with these parts crash engines; rejecting them";
                "service" => %verdict.service, "evidence" => %verdict);
        }
        for verdict in before.iter().filter(|b| !verdicts.iter().any(|v| b.parts == v.parts)) {
            info!(self.log, "prompts with these parts are no longer rejected";
                "service" => %verdict.service, "evidence" => %verdict);
        }
        self.metrics.poison_verdicts.set(verdicts.len() as i64);
        self.findings_changed.notify();
    }

    /// Returns whether the data centre of an endpoint counts as not reachable.
    pub(crate) fn is_cut_off(&self, data_centre: &DataCentreId) -> bool {
        let reachability = self.reachability.borrow();
        reachability.get(data_centre).is_some_and(|r| r.is_in_backoff(self.now()))
    }

    /// Changes what is known of requests that crash endpoints with `f`, which returns whether it did. Tells the other
    /// hosts, and logs verdicts that are new or have gone.
    pub(crate) fn change_request_crashes(
        &self,
        f: impl FnOnce(&mut RequestCrashes, Timestamp) -> bool,
    ) {
        let before = self.request_crashes.borrow().verdicts().to_vec();
        if !f(&mut self.request_crashes.borrow_mut(), self.now()) {
            return;
        }
        let table = self.request_crashes.borrow();
        let verdicts = table.verdicts();
        for verdict in verdicts.iter().filter(|v| !before.iter().any(|b| b.request == v.request)) {
            warn!(self.log, "request crashes endpoints; rejecting it";
                "content" => %verdict.request, "evidence" => %verdict);
        }
        for verdict in before.iter().filter(|b| !verdicts.iter().any(|v| b.request == v.request)) {
            info!(self.log, "request is no longer rejected";
                "content" => %verdict.request, "evidence" => %verdict);
        }
        self.metrics.poison_requests.set(verdicts.len() as i64);
        let explained = table.explained();
        self.change_evidence(|table, now| table.set_explained(now, explained));
        self.findings_changed.notify();
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
