use serde::{Deserialize, Serialize};

use crate::unit::Slots;

/// The load that an endpoint reports; it lags behind the actual load.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// The number of calls in progress.
    pub running: Slots,
    /// The number of calls that wait at the endpoint.
    pub queued: Slots,
}
