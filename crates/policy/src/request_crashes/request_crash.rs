use crate::poison::CrashKey;
use masticstair_core::prelude::*;

/// The end of an endpoint during a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestCrash {
    /// The content of the request.
    pub request: RequestDigest,
    /// The end of the endpoint.
    pub crash: CrashKey,
    /// When the request was sent to it.
    pub sent_at: Timestamp,
    /// When the end was seen; not before `sent_at`.
    pub ended_at: Timestamp,
}
