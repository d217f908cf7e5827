use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::front_end::StageSource;

/// A stage of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageRequest {
    /// The client request that the stage belongs to.
    pub call: CallId,
    /// The position of the stage in its route.
    pub stage: u32,
    pub service: ServiceName,
    /// The number of pieces.
    pub pieces: u32,
    pub source: StageSource,
    /// The time left for the stage if the answer is to meet the latency objective.
    pub due: Millis,
    /// The time left until the deadline of the stage.
    pub left: Millis,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The data centre in which the results are needed.
    pub near: Option<DataCentreId>,
    /// The approximate size of a result.
    pub result: ByteCount,
    /// Whether the stage may crash endpoints, so that its pieces go into calls of their own.
    pub is_suspected: bool,
}
