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
    /// Whether a complete event of this engine has arrived.
    pub(super) has_events: bool,
}
