use masticstair_core::prelude::*;

use super::JobNumber;

/// A piece of a stage that waits for a call; the unit of batching.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageItem {
    /// The stage of a request that the piece belongs to.
    pub job: JobNumber,
    /// The index of the piece in its stage, from 0.
    pub piece: u32,
    /// When the stage has to complete for the request to meet its latency objective.
    pub objective: Timestamp,
    /// When the stage has to complete for the request to be answered at all.
    pub deadline: Timestamp,
    /// When the item began to wait.
    pub queued_at: Timestamp,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The data centre in which the result is needed; `None` when any will do.
    pub preferred_data_centre: Option<DataCentreId>,
    /// The approximate size of the result.
    pub result_size: ByteCount,
    /// Whether the request has no results of earlier stages that would be lost with this stage.
    pub is_first_stage: bool,
    /// Whether it gets calls without items of other stages, because endpoints ended during calls that contained it.
    pub is_alone: bool,
    /// The number of failed calls that contained the item.
    pub failures: u8,
}
