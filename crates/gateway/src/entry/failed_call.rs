use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::poison::CallProgress;

/// A call whose answer broke off or did not come.
pub(super) struct FailedCall<'a> {
    pub(super) endpoint: &'a ServingEndpoint,
    pub(super) sent_at: Timestamp,
    pub(super) progress: CallProgress,
    /// Whether a complete event of a stream had arrived.
    pub(super) has_events: bool,
    /// Since when nothing came; none if the connection broke.
    pub(super) silent_since: Option<Timestamp>,
}
