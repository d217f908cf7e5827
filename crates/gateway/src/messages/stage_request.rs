use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::front_end::StageSource;

/// A stage of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageRequest {
    /// The request.
    pub call: CallId,
    /// The position of the stage in its route.
    pub stage: u32,
    /// The service that does the work.
    pub service: ServiceName,
    /// The number of pieces.
    pub pieces: u32,
    /// What they work on.
    pub source: StageSource,
    /// The time from now within which the stage has to end for the answer to be on time.
    pub due: Millis,
    /// The time from now within which the stage has to end at all.
    pub left: Millis,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The data centre in which the results are needed.
    pub near: Option<DataCentreId>,
    /// The approximate size of a result.
    pub result: ByteCount,
}
