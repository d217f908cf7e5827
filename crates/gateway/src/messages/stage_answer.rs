use serde::{Deserialize, Serialize};

use super::{StageLoad, StageReply};

/// What became of a stage, and how busy its service is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageAnswer {
    /// What became of it.
    pub reply: StageReply,
    /// How busy its service is.
    pub load: StageLoad,
}
