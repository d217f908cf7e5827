use masticstair_core::prelude::*;
use masticstair_policy::fair_queue::{AccountLimits, WorkClass};

use super::StageKey;

/// A request that asks to run.
pub struct AdmissionRequest<'a> {
    /// The client account.
    pub account: &'a AccountId,
    /// The part of the account's limits that this host owns.
    pub limits: AccountLimits,
    /// The class of the pipeline.
    pub class: WorkClass,
    /// The deadline.
    pub deadline: Timestamp,
    /// The pipeline.
    pub pipeline: &'a PipelineName,
    /// Its stages.
    pub keys: &'a [StageKey],
}
