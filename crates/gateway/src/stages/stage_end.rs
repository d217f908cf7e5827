use crate::messages::{StageCrash, StageOutcome};

/// The end of a stage, for the request that it belongs to.
pub(crate) struct StageEnd {
    pub(crate) outcome: StageOutcome,
    /// The ends of endpoints during its calls; empty if the stage was completed.
    pub(crate) crashes: Vec<StageCrash>,
}
