use masticstair_core::bundle::{Stage, StageKind};
use masticstair_core::prelude::*;

/// The work whose latency is estimated together: stages of one name on one pool.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StageKey {
    pool: PoolName,
    stage: StageName,
    kind: StageKind,
}

impl StageKey {
    /// Returns the key of a stage.
    pub fn new(stage: &Stage) -> Self {
        Self { pool: stage.pool.clone(), stage: stage.name.clone(), kind: stage.kind }
    }

    /// Returns the size of the work: tokens count only where they are generated.
    pub(super) fn work_size(&self, tokens: TokenCount) -> TokenCount {
        if self.kind == StageKind::Generate { tokens } else { TokenCount::default() }
    }
}
