use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use masticstair_core::prelude::*;
use masticstair_net::http::relay::{RelayBody, RelayHead};
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::engine_model::PromptLoad;
use std::sync::Arc;
use std::time::Duration;

use super::in_flight_call::InFlightCall;

/// A stream that an engine has begun to send.
pub(super) struct OpenedStream {
    pub(super) endpoint: Arc<ServingEndpoint>,
    pub(super) head: RelayHead,
    pub(super) body: RelayBody,
    pub(super) in_flight_call: InFlightCall,
    pub(super) sent_at: Timestamp,
    /// What the engine had to do before the first event, as far as this host knew when it sent the request.
    pub(super) load: PromptLoad,
    /// When the head or the last chunk arrived.
    pub(super) last_output: Timestamp,
    /// Until when the first event of this engine is awaited if the request can be sent to another one.
    pub(super) first_event_by: Timestamp,
    /// Whether an event with a field has arrived from this engine.
    pub(super) has_events: bool,
    /// Since when the next event is awaited; none until the client has taken the last one.
    pub(super) awaited_since: Option<Timestamp>,
}

impl OpenedStream {
    /// Returns when the stream counts as stalled if no further event arrives. Bytes that complete no event are no progress:
    /// an engine that sends only those, or comments, has stalled as well.
    pub(super) fn stalls_at(&mut self, now: Timestamp, longest_pause: Duration) -> Timestamp {
        let awaited_since = *self.awaited_since.get_or_insert(now);
        match self.has_events {
            true => awaited_since.plus(longest_pause),
            false => self.first_event_by,
        }
    }

    /// Returns whether the stream may have been cut although its body ended properly. A body without length or chunks
    /// ends with its connection, also when the engine ends; a whole stream has an event.
    pub(super) fn may_be_cut(&self) -> bool {
        let headers = &self.head.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        !is_framed && !self.has_events
    }
}
