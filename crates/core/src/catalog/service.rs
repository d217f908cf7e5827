use crate::id::ServiceName;
use crate::unit::Slots;

use super::{BatchLimits, ColdLimits, EngineLimits};

/// A group of endpoints that serve the same calls.
#[derive(Clone, Debug)]
pub struct Service {
    /// Unique in the catalog.
    pub name: ServiceName,
    /// The number of connections that one endpoint accepts from all hosts together.
    pub connections: Slots,
    /// Set if the endpoints are model engines.
    pub engine: Option<EngineLimits>,
    /// Set if the endpoints run stages.
    pub batch: Option<BatchLimits>,
    /// Set if cold endpoints bear a limited rate.
    pub cold: Option<ColdLimits>,
}
