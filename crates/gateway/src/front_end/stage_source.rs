use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What the pieces of a stage work on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StageSource {
    /// What the client names, for a stage that needs no results.
    Key(Box<str>),
    /// All results of all stages before.
    Inputs(Vec<ResultHandle>),
}
