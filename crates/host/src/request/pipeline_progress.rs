use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use serde_json::value::RawValue;
use std::cell::Cell;

use super::{CallerRequest, StageCost};
use crate::traffic::StageKey;

/// How far a request has come.
pub(super) struct PipelineProgress {
    /// The keys of all stages.
    pub(super) keys: Vec<StageKey>,
    /// The output of the last stage that has run.
    pub(super) output: Option<Box<RawValue>>,
    pub(super) cost: Vec<StageCost>,
    pub(super) next_attempt: Cell<u32>,
    /// Whether the answer of a stage came from the record of an earlier request.
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
