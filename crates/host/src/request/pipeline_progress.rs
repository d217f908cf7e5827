use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use serde_json::value::RawValue;
use std::cell::Cell;

use super::{CallerRequest, StageCost};
use crate::traffic::StageKey;

/// The state of a request while its stages run.
pub(super) struct PipelineProgress {
    /// One key for each stage, in the order of the pipeline.
    pub(super) keys: Vec<StageKey>,
    /// The output of the latest completed stage; none before the first.
    pub(super) output: Option<Box<RawValue>>,
    pub(super) cost: Vec<StageCost>,
    pub(super) next_attempt: Cell<u32>,
    /// Whether a stage was answered from the record of an earlier request with the same key.
    pub(super) replayed: Cell<bool>,
}

impl PipelineProgress {
    pub(super) fn new(caller: &CallerRequest) -> Self {
        Self {
            keys: caller.pipeline.stages.iter().map(StageKey::new).collect(),
            output: None,
            cost: Vec::new(),
            next_attempt: Cell::new(1),
            replayed: Cell::new(false),
        }
    }

    pub(super) fn add_cost(&mut self, stage: &StageName, usage: Usage) {
        self.cost.push(StageCost { stage: stage.clone(), usage });
    }
}
