use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What an endpoint said of its limit, as one host tells it to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process; a later one starts without a limit.
    pub incarnation: Incarnation,
    /// The requests a second that it takes from all hosts together; none if it named no limit.
    pub limit: Option<RatePerSecond>,
    /// The time since the request was sent whose answer said so. An age is used in place of a time, because the clocks
    /// of hosts differ.
    pub age: Millis,
}
