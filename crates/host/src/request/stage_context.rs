use masticstair_core::bundle::Stage;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_policy::admission::{StageEstimate, expected_work};
use std::cell::Cell;
use std::time::Duration;

use super::stage_input::StageInput;
use super::{CallerRequest, WorkerContext};
use crate::traffic::StageKey;

/// What the calls of one stage share.
pub(super) struct StageContext<'a> {
    pub(super) worker: &'a WorkerContext,
    pub(super) caller: &'a CallerRequest,
    pub(super) stage: &'a Stage,
    /// The body of the caller for the first stage, otherwise with the answer of the stage before.
    pub(super) input: StageInput<'a>,
    /// The keys of this stage and those after it in the host's observations; not empty.
    pub(super) keys: &'a [StageKey],
    /// The span of the request.
    pub(super) trace: TraceParent,
    /// Whether the answer of a stage came from the record of an earlier request.
    pub(super) replayed: &'a Cell<bool>,
    /// The number of the next attempt of the request; unique within the request.
    pub(super) next_attempt: &'a Cell<u32>,
}

impl StageContext<'_> {
    /// Returns a fresh number for a call.
    pub(super) fn new_attempt(&self) -> AttemptId {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt + 1);
        AttemptId::new(attempt)
    }

    /// Returns a random number for a decision.
    pub(super) fn draw(&self) -> Draw {
        Draw::new(rand::random())
    }

    /// Estimates this stage and those after it.
    pub(super) fn remaining_stages(&self) -> Vec<StageEstimate> {
        self.estimate(self.keys)
    }

    /// Returns the expected time of this stage and those after it.
    pub(super) fn expected_work(&self) -> Duration {
        expected_work(&self.remaining_stages())
    }

    /// Returns the expected time of the stages after this one.
    pub(super) fn later_stages_work(&self) -> Duration {
        expected_work(&self.estimate(&self.keys[1..]))
    }

    fn estimate(&self, keys: &[StageKey]) -> Vec<StageEstimate> {
        self.worker.state.traffic.estimate(&self.caller.pipeline.name, keys)
    }

    /// Returns the time that is left, in whole milliseconds.
    pub(super) fn time_left(&self) -> Millis {
        let left = self.caller.deadline.since(self.worker.state.clock.now());
        Millis::new(left.as_millis() as u64)
    }
}
