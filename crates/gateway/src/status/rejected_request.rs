use masticstair_core::prelude::*;
use masticstair_policy::poison::CrashKey;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A request that is rejected because it crashes endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RejectedRequest {
    /// The content of the request, as in the log.
    pub content: RequestDigest,
    /// The processes of endpoints that ended during it; only the last ones if there are many.
    pub crashes: BTreeSet<CrashKey>,
    /// The time until it is no longer rejected.
    pub left: Millis,
}
