//! Logging, metrics and tracing spans.

mod log;
mod metrics;
mod pipeline_labels;
mod request_labels;
mod span;
mod stage_labels;

pub use log::{LogGuard, json_logger};
pub use metrics::Metrics;
pub use pipeline_labels::PipelineLabels;
pub use request_labels::RequestLabels;
pub use span::Span;
pub use stage_labels::StageLabels;
