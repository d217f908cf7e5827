use masticstair_core::bundle::Stage;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use serde_json::Value;
use std::cell::Cell;

use super::{CallerRequest, WorkerContext};

/// What the calls of one stage share.
pub(super) struct StageContext<'a> {
    pub(super) cx: &'a WorkerContext,
    pub(super) caller: &'a CallerRequest,
    pub(super) stage: &'a Stage,
    /// The body of the caller for the first stage, otherwise with the answer of the stage before.
    pub(super) input: &'a Value,
    /// The span of the request.
    pub(super) trace: TraceParent,
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

    /// Returns the time that is left, in whole milliseconds.
    pub(super) fn time_left(&self) -> Millis {
        let left = self.caller.deadline.since(self.cx.state.clock.now());
        Millis::new(left.as_millis() as u64)
    }
}
