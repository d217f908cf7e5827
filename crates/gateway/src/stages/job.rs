use futures_channel::oneshot;
use masticstair_core::prelude::*;

use crate::messages::{CancelRequest, StageReply, StageRequest};

/// A stage of a request whose pieces are made.
pub(super) struct Job {
    /// The host that asked for it.
    pub(super) from: HostId,
    pub(super) request: StageRequest,
    /// The results so far, by piece.
    pub(super) results: Vec<Option<ResultHandle>>,
    pub(super) deadline: Timestamp,
    pub(super) due: Timestamp,
    pub(super) reply: oneshot::Sender<StageReply>,
}

impl Job {
    pub(super) fn key(&self) -> (HostId, CancelRequest) {
        let cancel = CancelRequest { call: self.request.call.clone(), stage: self.request.stage };
        (self.from.clone(), cancel)
    }

    /// Returns the results when all pieces are made.
    pub(super) fn complete(&self) -> Option<Vec<ResultHandle>> {
        self.results.iter().cloned().collect()
    }
}
