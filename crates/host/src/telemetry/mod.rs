//! Logs, metrics and traces.

mod log;
mod metrics;
mod span;

pub use log::{LogGuard, json_logger};
pub use metrics::{Metrics, PipelineLabels, RequestLabels, StageLabels};
pub use span::Span;
