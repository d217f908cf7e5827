use parking_lot::Mutex;
use std::sync::Arc;

use super::CallRecord;

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
