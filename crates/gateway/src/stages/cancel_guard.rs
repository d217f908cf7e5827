use std::rc::Rc;

use super::owners::send_message;
use super::run_stage::cancel_stage;
use super::submit_stage::NOTICE_TIMEOUT;
use crate::messages::{CancelRequest, Message};
use crate::{Gateway, PeerHost};

/// Cancels a stage when its requester stops waiting.
pub(super) struct CancelGuard {
    gw: Rc<Gateway>,
    owner: Option<PeerHost>,
    cancel: Option<CancelRequest>,
}

impl CancelGuard {
    pub(super) fn new(gw: &Rc<Gateway>, owner: Option<PeerHost>, cancel: CancelRequest) -> Self {
        Self { gw: gw.clone(), owner, cancel: Some(cancel) }
    }

    pub(super) fn disarm(mut self) {
        self.cancel = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(cancel) = self.cancel.take() else { return };
        match self.owner.take() {
            None => cancel_stage(&self.gw, self.gw.host.clone(), cancel),
            Some(owner) => {
                monoio::spawn(async move {
                    // If the host does not answer, the stage ends there at its deadline.
                    let _ = send_message(&owner, &Message::Cancel(cancel), NOTICE_TIMEOUT).await;
                });
            }
        }
    }
}
