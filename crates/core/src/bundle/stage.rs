use super::StageKind;
use crate::id::{ModelName, PoolName, StageName};

/// A stage of a pipeline.
#[derive(Clone, Debug)]
pub struct Stage {
    /// Unique in the pipeline.
    pub name: StageName,
    /// Equal to the kind of the pool.
    pub kind: StageKind,
    /// The pool whose endpoints run the stage.
    pub pool: PoolName,
    /// The model; required for generation, absent for plain services.
    pub model: Option<ModelName>,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}
