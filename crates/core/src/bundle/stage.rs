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
    /// Required for `Generate`, optional for other kinds, and not allowed for `Service`.
    pub model: Option<ModelName>,
    /// Whether a call may run more than once, so that it can be retried; true by default.
    pub idempotent: bool,
}
