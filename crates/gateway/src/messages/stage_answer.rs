use serde::{Deserialize, Serialize};

use super::{StageLoad, StageReply};

/// The outcome of a stage, and the load of its service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageAnswer {
    pub reply: StageReply,
    pub load: StageLoad,
}
