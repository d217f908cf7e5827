use serde::{Deserialize, Serialize};

use super::{StageCrash, StageLoad, StageOutcome};

/// The outcome of a stage, and the load of its service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageReply {
    #[serde(rename = "reply")]
    pub outcome: StageOutcome,
    pub load: StageLoad,
    /// The ends of endpoints during its calls; empty if the stage was completed.
    pub crashes: Vec<StageCrash>,
}
