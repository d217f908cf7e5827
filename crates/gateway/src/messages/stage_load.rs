use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Priority levels that loads are reported for.
pub const PRIORITY_LEVELS: usize = 4;

/// The load of a stage service, as seen by the host that forms its calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageLoad {
    pub service: ServiceName,
    /// The expected wait of another stage, by priority. Priorities above the last level wait as long as the
    /// last level.
    pub waits: [Millis; PRIORITY_LEVELS],
    /// The mean duration of recent calls, with as many items as they had; 0 without recent calls.
    pub call: Millis,
}
