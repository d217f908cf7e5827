use futures_channel::oneshot;
use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;

use super::job_crashes::JobCrashes;
use crate::messages::{CancelRequest, StageOutcome, StageRequest};

/// A stage of a request that this host runs and has not completed.
pub(super) struct Job {
    /// The host that requested the stage.
    pub(super) from: HostId,
    pub(super) request: StageRequest,
    /// The results so far, by piece.
    pub(super) results: Vec<Option<ResultHandle>>,
    /// The number of pieces without a result.
    pub(super) missing: u32,
    /// When the stage arrived at this host.
    pub(super) arrived_at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) due: Timestamp,
    /// Also read when the job has ended.
    pub(super) crashes: Rc<RefCell<JobCrashes>>,
    pub(super) reply: oneshot::Sender<StageOutcome>,
}

impl Job {
    /// Returns the key of the job in `ServiceStages::by_request`.
    pub(super) fn key(&self) -> (HostId, CancelRequest) {
        let cancel = CancelRequest { call: self.request.call.clone(), stage: self.request.stage };
        (self.from.clone(), cancel)
    }

    /// Stores the result of a piece; returns it if the piece already has one or the stage has no such piece.
    pub(super) fn record_result(
        &mut self,
        piece: u32,
        handle: ResultHandle,
    ) -> Option<ResultHandle> {
        match self.results.get_mut(piece as usize) {
            Some(place @ None) => {
                *place = Some(handle);
                self.missing -= 1;
                None
            }
            _ => Some(handle),
        }
    }
}
