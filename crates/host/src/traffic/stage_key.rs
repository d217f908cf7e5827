use masticstair_core::bundle::{Stage, StageKind};
use masticstair_core::prelude::*;

/// Identifies the work that shares a latency estimate: stages of one name and kind on one pool.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct StageKey {
    pool: PoolName,
    stage: StageName,
    kind: StageKind,
}

impl StageKey {
    pub(crate) fn new(stage: &Stage) -> Self {
        Self { pool: stage.pool.clone(), stage: stage.name.clone(), kind: stage.kind }
    }

    /// Returns the size of the work: `tokens` for a stage that generates them, otherwise zero.
    pub(super) fn work_size(&self, tokens: TokenCount) -> TokenCount {
        if self.kind == StageKind::Generate { tokens } else { TokenCount::default() }
    }
}
