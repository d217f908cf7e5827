use crate::id::ServiceName;
use crate::unit::Slots;

use super::{BatchLimits, EngineLimits};

/// A service: endpoints that serve the same calls.
#[derive(Clone, Debug)]
pub struct Service {
    /// Unique in the catalog.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all hosts together.
    pub connections: Slots,
    /// Set when the endpoints are model engines.
    pub engine: Option<EngineLimits>,
    /// Set when the endpoints run stages.
    pub batch: Option<BatchLimits>,
}
