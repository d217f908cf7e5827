use masticstair_core::prelude::*;
use parking_lot::Mutex;
use serde_json::Value;
use std::sync::Arc;

/// A call that a plain service has executed.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountId,
    /// What was asked for.
    pub input: Value,
}

/// Every executed call of the plain services, so that a second run of one can be seen.
#[derive(Clone, Debug, Default)]
pub struct CallLog(Arc<Mutex<Vec<CallRecord>>>);

impl CallLog {
    /// Returns every call so far.
    pub fn records(&self) -> Vec<CallRecord> {
        self.0.lock().clone()
    }

    pub(crate) fn record(&self, record: CallRecord) {
        self.0.lock().push(record);
    }
}
