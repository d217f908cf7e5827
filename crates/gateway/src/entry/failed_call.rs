use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::poison::CallProgress;
use std::sync::Arc;

use super::client_request::ClientRequest;
use super::opened_stream::OpenedStream;
use crate::front_end::Prompt;

/// A call whose answer broke off or did not come.
pub(super) struct FailedCall {
    pub(super) call: CallId,
    pub(super) content: RequestDigest,
    pub(super) service: ServiceName,
    pub(super) prompt: Option<Prompt>,
    pub(super) endpoint: Arc<ServingEndpoint>,
    pub(super) sent_at: Timestamp,
    pub(super) progress: CallProgress,
    /// Whether a complete event of a stream had arrived.
    pub(super) has_events: bool,
    /// Since when nothing came; none if the connection broke.
    pub(super) silent_since: Option<Timestamp>,
}

impl FailedCall {
    /// Creates the record of a call without an answer.
    pub(super) fn unanswered(
        req: &ClientRequest,
        endpoint: &Arc<ServingEndpoint>,
        sent_at: Timestamp,
        is_silent: bool,
    ) -> Self {
        Self {
            call: req.meta.call.clone(),
            content: req.content(),
            service: req.service.clone(),
            prompt: req.meta.prompt.clone(),
            endpoint: endpoint.clone(),
            sent_at,
            progress: CallProgress::Queued,
            has_events: false,
            silent_since: is_silent.then_some(sent_at),
        }
    }

    /// Creates the record of a stream that did not end.
    pub(super) fn unfinished(req: &ClientRequest, opened: &OpenedStream, is_silent: bool) -> Self {
        Self {
            progress: CallProgress::Answering,
            has_events: opened.has_events,
            silent_since: is_silent.then_some(opened.last_output),
            ..Self::unanswered(req, &opened.endpoint, opened.sent_at, is_silent)
        }
    }
}
