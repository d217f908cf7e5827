use masticstair_core::prelude::*;

/// The newest statement of an endpoint on its limit.
#[derive(Clone, Debug)]
pub(super) struct Statement {
    pub(super) incarnation: Incarnation,
    pub(super) limit: Option<RatePerSecond>,
    /// When the request was sent whose answer said so. Answers may overtake each other, so one to an earlier request
    /// changes nothing.
    pub(super) asked_at: Timestamp,
    /// The position of the last change of the limit.
    pub(super) position: u64,
    /// Whether this host got the answer itself.
    pub(super) is_own: bool,
}
