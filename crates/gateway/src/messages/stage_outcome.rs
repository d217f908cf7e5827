use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::StageFailure;

/// The outcome of a stage.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StageOutcome {
    /// The results in the order of the pieces.
    Done(Vec<ResultHandle>),
    Failed(StageFailure),
}
