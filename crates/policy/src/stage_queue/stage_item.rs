use masticstair_core::prelude::*;

use super::JobNumber;

/// A piece of a stage that waits for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageItem {
    /// The stage of a request that it belongs to.
    pub job: JobNumber,
    /// Its number among the pieces of the stage.
    pub piece: u32,
    /// When the stage has to end so that the answer of the request is on time.
    pub objective: Timestamp,
    /// When the stage has to end so that the request can be answered at all.
    pub deadline: Timestamp,
    /// When it began to wait.
    pub queued_at: Timestamp,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The data centre in which the result is needed.
    pub preferred_data_centre: Option<DataCentreId>,
    /// The approximate size of the result.
    pub result_size: ByteCount,
    /// Whether no earlier stage of its request has results that would be lost with it.
    pub is_first_stage: bool,
    /// Calls that failed with it.
    pub failures: u8,
}
