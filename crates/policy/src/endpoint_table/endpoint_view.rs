use std::sync::Arc;

use super::{EndpointRecord, LoadReport};
use masticstair_core::unit::Timestamp;

/// An endpoint that may receive new work.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// The current record of the endpoint.
    pub record: Arc<EndpointRecord>,
    /// Whether its observer is alive; routing prefers confirmed endpoints.
    pub confirmed: bool,
    /// The last load report and when it was received.
    pub load: Option<(LoadReport, Timestamp)>,
}
