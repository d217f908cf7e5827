use masticstair_core::bundle::Stage;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_policy::admission::{StageEstimate, expected_work};
use std::cell::Cell;
use std::time::Duration;

use super::stage_input::StageInput;
use super::{CallerRequest, WorkerContext};
use crate::traffic::StageKey;

/// The context that all calls of one stage of a request share.
pub(super) struct StageContext<'a> {
    pub(super) worker: &'a WorkerContext,
    pub(super) caller: &'a CallerRequest,
    pub(super) stage: &'a Stage,
    /// The body of the caller, with the output of the previous stage except in the first one.
    pub(super) input: StageInput<'a>,
    /// The keys of the latency estimates of this stage and all later ones; not empty.
    pub(super) keys: &'a [StageKey],
    /// The parent of the spans of this stage.
    pub(super) trace: TraceParent,
    /// Set if a stage is answered from the record of an earlier request with the same key.
    pub(super) replayed: &'a Cell<bool>,
    /// The id of the next attempt; shared by all stages, so that ids are unique within the request.
    pub(super) next_attempt: &'a Cell<u32>,
}

impl StageContext<'_> {
    /// Allocates the id of an attempt.
    pub(super) fn new_attempt(&self) -> AttemptId {
        let attempt = self.next_attempt.get();
        self.next_attempt.set(attempt + 1);
        AttemptId::new(attempt)
    }

    /// Returns a random value for one choice of an endpoint or of a retry delay.
    pub(super) fn draw(&self) -> Draw {
        Draw::new(rand::random())
    }

    /// Returns the estimates of this stage and all later ones.
    pub(super) fn remaining_stages(&self) -> Vec<StageEstimate> {
        self.estimate(self.keys)
    }

    /// Returns the expected duration of this stage and all later ones.
    pub(super) fn expected_work(&self) -> Duration {
        expected_work(&self.remaining_stages())
    }

    /// Returns the expected duration of the stages after this one.
    pub(super) fn later_stages_work(&self) -> Duration {
        expected_work(&self.estimate(&self.keys[1..]))
    }

    fn estimate(&self, keys: &[StageKey]) -> Vec<StageEstimate> {
        self.worker.state.traffic.estimate(&self.caller.pipeline.name, keys)
    }

    /// Returns the time until the deadline, rounded down to whole milliseconds.
    pub(super) fn time_left(&self) -> Millis {
        let left = self.caller.deadline.since(self.worker.state.clock.now());
        Millis::new(left.as_millis() as u64)
    }
}
