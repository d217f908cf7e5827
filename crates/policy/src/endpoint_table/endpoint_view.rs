use std::sync::Arc;

use super::{EndpointRecord, LoadReport};
use masticstair_core::unit::Timestamp;

/// An endpoint that may get new work.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// What is known of it.
    pub record: Arc<EndpointRecord>,
    /// Whether its observer is alive; routing prefers endpoints that are confirmed.
    pub confirmed: bool,
    /// The last load report and when it came.
    pub load: Option<(LoadReport, Timestamp)>,
}
