use masticstair_core::prelude::*;
use serde_json::Value;

/// A call that a plain service executed.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The id of the request that the call belongs to.
    pub request: RequestId,
    /// The client account that sent the request.
    pub account: AccountId,
    /// The input of the call, as received.
    pub input: Value,
}
