use super::Stage;
use crate::id::PipelineName;
use crate::unit::Millis;

/// A pipeline: stages that run in order under one deadline.
#[derive(Clone, Debug)]
pub struct Pipeline {
    /// Unique in the bundle.
    pub name: PipelineName,
    /// The deadline of a request that sets none; at most `max_deadline`.
    pub deadline: Millis,
    /// The longest deadline that a request may set; equal to `deadline` by default.
    pub max_deadline: Millis,
    /// 1 to 8 stages; at most one of them is not idempotent.
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// Returns whether every stage is idempotent, so that the whole request can be retried.
    pub fn is_idempotent(&self) -> bool {
        self.stages.iter().all(|s| s.idempotent)
    }
}
