use serde::{Deserialize, Serialize};

use crate::unit::Slots;

/// The load of an endpoint as it reports it, with a lag.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Calls that run.
    pub running: Slots,
    /// Calls that wait.
    pub queued: Slots,
}
