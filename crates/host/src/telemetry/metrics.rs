use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use masticstair_gateway::telemetry::GatewayMetrics;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use super::{PipelineLabels, RequestLabels, StageLabels};

/// Upper bounds of the buckets of the request duration.
const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// The metrics of a host. Their names and help texts are set in [`Metrics::default`].
pub struct Metrics {
    registry: Registry,
    /// Completed requests, by pipeline and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Seconds from the arrival of a request to the end of its answer, by pipeline.
    pub duration: Family<PipelineLabels, Histogram, fn() -> Histogram>,
    /// Calls to endpoints, by stage and result.
    pub calls: Family<StageLabels, Counter>,
    /// Engine seconds that endpoints reported for their calls, by stage and result.
    pub engine_time: Family<StageLabels, Counter<f64, AtomicU64>>,
    /// Output tokens that endpoints reported for their calls, by stage and result.
    pub tokens: Family<StageLabels, Counter>,
    /// Answers dropped because they belong to another call.
    pub mismatched_answers: Counter,
    /// Endpoints that are known and accept new calls.
    pub endpoints: Gauge,
    /// The number of the revision in force; 0 without a bundle.
    pub revision: Gauge,
    /// Requests that are in flight on this host.
    pub in_flight: Gauge,
    /// 1 while the replica of this host runs; 0 while its data folder cannot be used, and without one.
    pub replica_running: Gauge,
    /// Storage faults after which the replica is started again.
    pub storage_faults: Counter,
    /// The metrics of the gateway, exported with the sub-prefix `gateway`; zero on hosts without one.
    pub gateway: GatewayMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("masticstair");
        let new_histogram: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS_SECONDS);
        let metrics = Self {
            requests: Family::default(),
            duration: Family::new_with_constructor(new_histogram),
            calls: Family::default(),
            engine_time: Family::default(),
            tokens: Family::default(),
            mismatched_answers: Counter::default(),
            endpoints: Gauge::default(),
            revision: Gauge::default(),
            in_flight: Gauge::default(),
            replica_running: Gauge::default(),
            storage_faults: Counter::default(),
            gateway: GatewayMetrics::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests that ended", metrics.requests.clone());
        let help = "Time from the arrival of a request to the end of its answer";
        let duration = metrics.duration.clone();
        registry.register_with_unit("request_duration", help, Unit::Seconds, duration);
        registry.register("stage_calls", "Calls to endpoints", metrics.calls.clone());
        let engine_time = metrics.engine_time.clone();
        let help = "Time that endpoints spent";
        registry.register_with_unit("stage_engine_time", help, Unit::Seconds, engine_time);
        registry.register("stage_tokens", "Tokens that endpoints made", metrics.tokens.clone());
        let help = "Answers that belonged to another call and were dropped";
        registry.register("foreign_answers", help, metrics.mismatched_answers.clone());
        registry.register("endpoints", "Endpoints that are ready", metrics.endpoints.clone());
        registry.register("revision", "Revision in force", metrics.revision.clone());
        registry.register("requests_in_flight", "Requests in flight", metrics.in_flight.clone());
        let help = "Whether the replica of this host runs";
        registry.register("replica_running", help, metrics.replica_running.clone());
        let help = "Storage faults after which the replica is started again";
        registry.register("storage_faults", help, metrics.storage_faults.clone());
        metrics.gateway.register(&mut registry);
        Self { registry, ..metrics }
    }
}

impl Metrics {
    /// Encodes every metric in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a completed request and observes its duration.
    pub fn count_request(&self, pipeline: &PipelineName, outcome: &'static str, time: Duration) {
        let pipeline = pipeline.to_string();
        let labels = PipelineLabels { pipeline: pipeline.clone() };
        self.duration.get_or_create(&labels).observe(time.as_secs_f64());
        self.requests.get_or_create(&RequestLabels { pipeline, outcome }).inc();
    }

    /// Counts a completed call of a stage together with its engine time and output tokens.
    pub fn count_call(
        &self,
        pipeline: &PipelineName,
        stage: &StageName,
        result: &'static str,
        usage: Usage,
    ) {
        let labels =
            StageLabels { pipeline: pipeline.to_string(), stage: stage.to_string(), result };
        self.calls.get_or_create(&labels).inc();
        let seconds = usage.engine_us.get() as f64 / 1e6;
        self.engine_time.get_or_create(&labels).inc_by(seconds);
        self.tokens.get_or_create(&labels).inc_by(usage.output_tokens.get());
    }
}
