use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Priorities that are told apart.
pub const PRIORITY_LEVELS: usize = 4;

/// How busy a stage service is, as the host that forms its calls sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageLoad {
    /// The service.
    pub service: ServiceName,
    /// How long another stage would wait for a call now, by priority; those above the last one wait as long
    /// as it.
    pub waits: [Millis; PRIORITY_LEVELS],
    /// How long calls take now, filled as they are; 0 when none was made lately.
    pub call: Millis,
}
