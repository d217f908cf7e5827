use masticstair_core::prelude::*;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

use super::service_labels::ServiceLabels;

/// Upper bounds of the buckets of the fill of calls.
const FILL_BUCKETS: [f64; 8] = [0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0];

/// Upper bounds of the buckets of waits.
const WAIT_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0];

/// The metrics of the calls to stage services that this host forms; clones share their values. There is one series for
/// each stage service of the catalog.
#[derive(Clone)]
pub(crate) struct StageMetrics {
    fill: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    wait: Family<ServiceLabels, Histogram, fn() -> Histogram>,
}

impl Default for StageMetrics {
    fn default() -> Self {
        Self {
            fill: Family::new_with_constructor(|| Histogram::new(FILL_BUCKETS)),
            wait: Family::new_with_constructor(|| Histogram::new(WAIT_BUCKETS_S)),
        }
    }
}

impl StageMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Pieces of a stage call, as a fraction of the largest call";
        registry.register("stage_call_fill", help, self.fill.clone());
        let help = "Mean time that the pieces of a stage call waited for it";
        registry.register_with_unit("stage_wait", help, Unit::Seconds, self.wait.clone());
    }

    /// Records a call that has `fill` of the pieces that it may have.
    pub(crate) fn record_call(&self, service: &ServiceName, fill: f64, mean_wait: Duration) {
        let labels = ServiceLabels { service: service.to_string() };
        self.fill.get_or_create(&labels).observe(fill);
        self.wait.get_or_create(&labels).observe(mean_wait.as_secs_f64());
    }
}
