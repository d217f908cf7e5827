use masticstair_core::prelude::*;
use parking_lot::Mutex;
use serde_json::Value;
use std::sync::Arc;

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

/// Records every executed call of plain services, so that tests can detect duplicate executions.
#[derive(Clone, Debug, Default)]
pub struct CallLog(Arc<Mutex<Vec<CallRecord>>>);

impl CallLog {
    /// Returns all calls so far, in the order of execution.
    pub fn records(&self) -> Vec<CallRecord> {
        self.0.lock().clone()
    }

    pub(crate) fn record(&self, record: CallRecord) {
        self.0.lock().push(record);
    }
}
