use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use std::rc::Rc;
use std::sync::Arc;

use super::check_endpoint_end::spawn_check;
use super::client_request::ClientRequest;
use super::failed_call::FailedCall;
use crate::Gateway;
use crate::endpoint_end::is_endpoint_silent;

/// A call that waits for its answer. If the client leaves first, a silent endpoint is checked as after a failed call:
/// clients may always be the first to give up on a request that crashes endpoints.
pub(super) struct WaitingCall<'a> {
    gw: &'a Rc<Gateway>,
    req: &'a ClientRequest,
    endpoint: &'a Arc<ServingEndpoint>,
    sent_at: Timestamp,
    is_finished: bool,
}

impl<'a> WaitingCall<'a> {
    pub(super) fn new(
        gw: &'a Rc<Gateway>,
        req: &'a ClientRequest,
        endpoint: &'a Arc<ServingEndpoint>,
        sent_at: Timestamp,
    ) -> Self {
        Self { gw, req, endpoint, sent_at, is_finished: false }
    }

    /// Ends the wait with the answer or the failure of the call.
    pub(super) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if !self.is_finished && is_endpoint_silent(self.gw, &self.endpoint.id, self.sent_at) {
            let call = FailedCall::unanswered(self.req, self.endpoint, self.sent_at, true);
            spawn_check(self.gw, call);
        }
    }
}
