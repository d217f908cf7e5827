use masticstair_core::prelude::*;
use masticstair_policy::fair_queue::{AccountLimits, WorkClass};

use super::StageKey;

/// A request that waits for admission.
pub(crate) struct AdmissionRequest<'a> {
    pub(crate) account: &'a AccountId,
    /// The share of this host in the limits of the account.
    pub(crate) limits: AccountLimits,
    pub(crate) class: WorkClass,
    pub(crate) deadline: Timestamp,
    pub(crate) pipeline: &'a PipelineName,
    /// One key for each stage; the expected work is the sum of their estimates.
    pub(crate) keys: &'a [StageKey],
}
