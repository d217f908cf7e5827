use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What an order of an operator for a data centre did.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationOutcome {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
    /// The number of its last change; 0 if it was never evacuated.
    pub revision: EvacuationRevision,
    /// Whether this order changed it; false if what it asks for held already.
    pub changed: bool,
    /// Whether the answering host knows a host or an endpoint there. Otherwise the name may be wrong, or nobody may have heard
    /// of the data centre since the control host started.
    pub is_known: bool,
    /// Hosts in touch that had not confirmed the change when the order was answered.
    pub unconfirmed: usize,
    /// Services whose endpoints are all in evacuated data centres. Requests for them are refused.
    pub unserved: Vec<ServiceName>,
}
