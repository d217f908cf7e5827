use masticstair_core::prelude::*;
use masticstair_policy::run_once::CallKey;

use crate::control::ControlHandle;

/// Identifies a run-once call and its record in the replicated log.
#[derive(Clone)]
pub(super) struct RunOnceCall {
    pub(super) control: ControlHandle,
    pub(super) key: CallKey,
    pub(super) request: RequestId,
}
