use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use masticstair_core::prelude::*;
use masticstair_net::http::relay::{RelayBody, RelayHead};
use masticstair_policy::directory::ServingEndpoint;
use std::sync::Arc;

use super::in_flight_call::InFlightCall;

/// A stream that an engine has begun to send.
pub(super) struct OpenedStream {
    pub(super) endpoint: Arc<ServingEndpoint>,
    pub(super) head: RelayHead,
    pub(super) body: RelayBody,
    pub(super) in_flight_call: InFlightCall,
    pub(super) sent_at: Timestamp,
    /// When the head or the last chunk arrived.
    pub(super) last_output: Timestamp,
    /// Whether a complete event of this engine has arrived.
    pub(super) has_events: bool,
}

impl OpenedStream {
    /// Returns whether the stream may have been cut although its body ended properly. A body without length or chunks
    /// ends with its connection, also when the engine ends; a whole stream has an event.
    pub(super) fn may_be_cut(&self) -> bool {
        let headers = &self.head.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        !is_framed && !self.has_events
    }
}
