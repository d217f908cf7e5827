use masticstair_core::prelude::*;
use masticstair_policy::poison::CrashKey;
use serde::{Deserialize, Serialize};

/// The end of an endpoint during a call with pieces of a stage.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageCrash {
    /// The end of the endpoint.
    pub crash: CrashKey,
    /// The time since the call was sent.
    pub sent_age: Millis,
    /// The time since the end was seen; at most `sent_age`.
    pub age: Millis,
}
