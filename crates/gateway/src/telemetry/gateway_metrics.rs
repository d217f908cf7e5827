use masticstair_core::prelude::*;
use masticstair_net::memory::{MemoryCounts, RefusalCause};
use masticstair_policy::directory::ListingChange;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

use super::call_labels::CallLabels;
use super::cause_labels::CauseLabels;
use super::latency_labels::LatencyLabels;
use super::permit_labels::PermitLabels;
use super::route_labels::RouteLabels;
use super::service_labels::ServiceLabels;
use super::stage_metrics::StageMetrics;
use super::update_labels::UpdateLabels;
use crate::messages::SubscribeReply;

/// Upper bounds of the latency buckets.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// The metrics of a gateway; clones share their values.
#[derive(Clone)]
pub struct GatewayMetrics {
    requests: Family<RouteLabels, Counter>,
    first_answer: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    calls: Family<CallLabels, Counter>,
    call_time: Family<CallLabels, Histogram, fn() -> Histogram>,
    endpoint_ends: Family<ServiceLabels, Counter>,
    load_reports: Family<CallLabels, Counter>,
    update_bytes: Family<UpdateLabels, Counter>,
    permits: Family<PermitLabels, Counter>,
    cold_permits: Family<PermitLabels, Counter>,
    /// The calls to stage services that this host forms.
    pub(crate) stages: StageMetrics,
    client_memory: Gauge,
    client_memory_bound: Gauge,
    client_refusals: Family<CauseLabels, Counter>,
    /// The time from a catalog in force at this control host until a subscriber confirms it.
    pub(crate) catalog_delay: Histogram,
    /// The time from an order to evacuate a data centre, or to end that, until its acknowledgement.
    pub(crate) evacuation_acknowledged: Histogram,
    /// Data centres whose endpoints get no work.
    pub evacuated_data_centres: Gauge,
    /// Endpoints that take new work.
    pub endpoints: Gauge,
    /// The version of the catalog in force.
    pub catalog: Gauge,
    /// Endpoints that name a limit for the requests of all hosts.
    pub limited_endpoints: Gauge,
    /// Endpoints that are cold, as far as this host knows.
    pub cold_endpoints: Gauge,
    /// Endpoints that have asked this host to send them nothing for a time.
    pub paused_endpoints: Gauge,
    /// Requests that are rejected because they crash endpoints.
    pub poison_requests: Gauge,
    /// Verdicts on parts of prompts that crash engines.
    pub poison_verdicts: Gauge,
    /// Other control hosts that answer the subscriptions of this host.
    pub control_contacts: Gauge,
    /// Streams whose writer is known to this host.
    pub stream_records: Gauge,
    /// Connections opened to endpoints since the start.
    pub connections: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let new_histogram: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS_S);
        Self {
            requests: Family::default(),
            first_answer: Family::new_with_constructor(new_histogram),
            calls: Family::default(),
            call_time: Family::new_with_constructor(new_histogram),
            endpoint_ends: Family::default(),
            load_reports: Family::default(),
            update_bytes: Family::default(),
            catalog_delay: Histogram::new(LATENCY_BUCKETS_S),
            permits: Family::default(),
            evacuation_acknowledged: Histogram::new(LATENCY_BUCKETS_S),
            evacuated_data_centres: Gauge::default(),
            cold_permits: Family::default(),
            stages: StageMetrics::default(),
            client_memory: Gauge::default(),
            client_memory_bound: Gauge::default(),
            client_refusals: Family::default(),
            endpoints: Gauge::default(),
            catalog: Gauge::default(),
            limited_endpoints: Gauge::default(),
            cold_endpoints: Gauge::default(),
            paused_endpoints: Gauge::default(),
            poison_requests: Gauge::default(),
            poison_verdicts: Gauge::default(),
            control_contacts: Gauge::default(),
            stream_records: Gauge::default(),
            connections: Gauge::default(),
        }
    }
}

impl GatewayMetrics {
    /// Registers the metrics under the prefix `gateway`.
    pub fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("gateway");
        registry.register("requests", "Requests that ended", self.requests.clone());
        let help = "Time to the answer, or to the first event of a stream";
        registry.register_with_unit("first_answer", help, Unit::Seconds, self.first_answer.clone());
        registry.register("calls", "Calls to endpoints", self.calls.clone());
        let help = "Time of calls to endpoints";
        registry.register_with_unit("call", help, Unit::Seconds, self.call_time.clone());
        let help = "Requests, and calls of stages, during which their endpoint ended";
        registry.register("endpoint_ends", help, self.endpoint_ends.clone());
        let help = "Reports of their load by endpoints, usable or malformed";
        registry.register("load_reports", help, self.load_reports.clone());
        let help = "Bytes of catalogs and listings sent to subscribers";
        registry.register("update_bytes", help, self.update_bytes.clone());
        let help = "Time from a catalog in force here until a subscriber confirms it";
        let delay = self.catalog_delay.clone();
        registry.register_with_unit("catalog_confirmed", help, Unit::Seconds, delay);
        let help = "Time from an order for a data centre until its acknowledgement";
        let acknowledged = self.evacuation_acknowledged.clone();
        registry.register_with_unit("evacuation_acknowledged", help, Unit::Seconds, acknowledged);
        let help = "Data centres whose endpoints get no work";
        let evacuated = self.evacuated_data_centres.clone();
        registry.register("evacuated_data_centres", help, evacuated);
        registry.register("endpoints", "Endpoints that take work", self.endpoints.clone());
        registry.register("catalog", "Version of the catalog in force", self.catalog.clone());
        let help = "Requests for a permit to send to an endpoint with a limit";
        registry.register("permits", help, self.permits.clone());
        let help = "Endpoints that name a limit for the requests of all hosts";
        registry.register("limited_endpoints", help, self.limited_endpoints.clone());
        let help = "Requests for a permit to send to a cold endpoint";
        registry.register("cold_permits", help, self.cold_permits.clone());
        let help = "Endpoints that are cold";
        registry.register("cold_endpoints", help, self.cold_endpoints.clone());
        let help = "Endpoints that have asked this host to send them nothing for a time";
        registry.register("paused_endpoints", help, self.paused_endpoints.clone());
        let help = "Requests that are rejected because they crash endpoints";
        registry.register("poison_requests", help, self.poison_requests.clone());
        let help = "Verdicts on parts of prompts that crash engines";
        registry.register("poison_verdicts", help, self.poison_verdicts.clone());
        let help = "Other control hosts that answer the subscriptions of this host";
        registry.register("control_contacts", help, self.control_contacts.clone());
        let help = "Streams whose first event this host can assign to a software version";
        registry.register("stream_records", help, self.stream_records.clone());
        let help = "Memory that is held for clients";
        let memory = self.client_memory.clone();
        registry.register_with_unit("client_memory", help, Unit::Bytes, memory);
        let help = "Bound of the memory that is held for clients";
        let bound = self.client_memory_bound.clone();
        registry.register_with_unit("client_memory_bound", help, Unit::Bytes, bound);
        let help = "Clients refused, or connections closed, to stay within the machine";
        registry.register("client_refusals", help, self.client_refusals.clone());
        let help = "Connections opened to endpoints";
        registry.register("connections", help, self.connections.clone());
        self.stages.register(registry);
    }

    pub(crate) fn count_request(
        &self,
        route: Option<&RouteName>,
        outcome: &'static str,
        first: Option<Duration>,
    ) {
        let route = route.map(ToString::to_string).unwrap_or_default();
        if let Some(first) = first {
            let labels = LatencyLabels { route: route.clone() };
            self.first_answer.get_or_create(&labels).observe(first.as_secs_f64());
        }
        self.requests.get_or_create(&RouteLabels { route, outcome }).inc();
    }

    pub(crate) fn count_endpoint_end(&self, service: &ServiceName) {
        let labels = ServiceLabels { service: service.to_string() };
        self.endpoint_ends.get_or_create(&labels).inc();
    }

    pub(crate) fn count_load_report(&self, service: &ServiceName, result: &'static str) {
        let labels = CallLabels { service: service.to_string(), result };
        self.load_reports.get_or_create(&labels).inc();
    }

    /// Counts the content of a reply to a subscriber. The size of a listing is that of its records in memory.
    pub(crate) fn count_update(&self, reply: &SubscribeReply) {
        let listing = reply.feed.changes.len() * size_of::<ListingChange>();
        let update = reply.catalog_update.as_ref().map(|update| &update.content);
        let catalog = update.or(reply.catalog.as_ref()).map_or(0, Vec::len);
        for (kind, bytes) in [("listing", listing), ("catalog", catalog)] {
            if bytes > 0 {
                self.update_bytes.get_or_create(&UpdateLabels { kind }).inc_by(bytes as u64);
            }
        }
    }

    /// Publishes the account of the memory of clients.
    pub(crate) fn record_memory(&self, counts: &MemoryCounts) {
        self.client_memory.set(counts.held.get() as i64);
        self.client_memory_bound.set(counts.bound.get() as i64);
        for (cause, total) in RefusalCause::ALL.iter().zip(counts.refusals) {
            let labels = CauseLabels { cause: cause.name() };
            let counter = self.client_refusals.get_or_create(&labels);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    pub(crate) fn count_permit(&self, granted: bool) {
        self.permits.get_or_create(&PermitLabels::new(granted)).inc();
    }

    pub(crate) fn count_cold_permit(&self, granted: bool) {
        self.cold_permits.get_or_create(&PermitLabels::new(granted)).inc();
    }

    pub(crate) fn count_call(&self, service: &ServiceName, result: &'static str, took: Duration) {
        let labels = CallLabels { service: service.to_string(), result };
        self.call_time.get_or_create(&labels).observe(took.as_secs_f64());
        self.calls.get_or_create(&labels).inc();
    }
}
