use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The input of the pieces of a stage.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StageSource {
    /// A key from the client, for a stage that depends on no other stage.
    Key(Box<str>),
    /// The results of all stages that the stage depends on.
    Inputs(Vec<ResultHandle>),
}
