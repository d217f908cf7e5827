//! What a gateway counts.

mod gateway_metrics;
mod story;

pub use gateway_metrics::GatewayMetrics;
pub(crate) use story::Story;
