use masticstair_core::prelude::*;
use masticstair_policy::endpoint_limits::LimitNotice;
use masticstair_policy::warmups::ColdBudget;
use serde::{Deserialize, Serialize};

/// Asks the owner of a cold endpoint for a permit to send it a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdPermitRequest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process.
    pub incarnation: Incarnation,
    /// What the endpoint bears, by the catalog in force at the asking host.
    pub budget: ColdBudget,
    /// The limit that the endpoint names besides; none if it names none.
    pub limit: Option<LimitNotice>,
}
