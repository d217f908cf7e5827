use masticstair_core::prelude::*;
use std::time::Duration;

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Permission {
    /// The endpoint has no limit.
    Unlimited,
    /// A permit was given for this request, which may be sent until this time.
    Granted(Timestamp),
    /// There is no permit for this time.
    Denied(Duration),
}
