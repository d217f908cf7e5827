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
    /// Pieces without a result.
    pub(super) missing: u32,
    /// When it came to this host.
    pub(super) arrived_at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) due: Timestamp,
    pub(super) reply: oneshot::Sender<StageReply>,
}

impl Job {
    pub(super) fn key(&self) -> (HostId, CancelRequest) {
        let cancel = CancelRequest { call: self.request.call.clone(), stage: self.request.stage };
        (self.from.clone(), cancel)
    }

    /// Takes the result of a piece; gives it back when the piece has one or the stage has no such piece.
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
