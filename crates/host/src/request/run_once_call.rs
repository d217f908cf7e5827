use masticstair_core::prelude::*;
use masticstair_policy::run_once::CallKey;

use crate::control::ControlHandle;

/// What the call of a stage and its record are known by.
#[derive(Clone)]
pub(super) struct RunOnceCall {
    pub(super) control: ControlHandle,
    pub(super) key: CallKey,
    pub(super) request: RequestId,
}
