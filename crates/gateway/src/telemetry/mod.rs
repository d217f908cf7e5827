//! Metrics and the log line of finished requests.

mod call_labels;
mod cause_labels;
mod gateway_metrics;
mod latency_labels;
mod permit_labels;
mod refusal_log;
mod request_timeline;
mod route_labels;
mod service_labels;
mod stage_metrics;
mod update_labels;

pub use gateway_metrics::GatewayMetrics;
pub(crate) use refusal_log::RefusalLog;
pub(crate) use request_timeline::RequestTimeline;
