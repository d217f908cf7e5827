use masticstair_core::id::{EndpointId, Incarnation};
use thiserror::Error;

/// The reason why an announcement or a departure is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AnnounceError {
    /// A later incarnation of the endpoint is known.
    #[error("endpoint {id} has incarnation {known}, incarnation {announced} is over")]
    Outdated {
        /// The endpoint that sent the announcement.
        id: EndpointId,
        /// The incarnation in the announcement.
        announced: Incarnation,
        /// The higher incarnation in the table.
        known: Incarnation,
    },
    /// The endpoint has left with this incarnation.
    #[error(
        "endpoint {id} left with incarnation {incarnation}; it can come back with a higher one"
    )]
    Left {
        /// The endpoint that sent the announcement.
        id: EndpointId,
        /// The incarnation that left.
        incarnation: Incarnation,
    },
    /// The table has no capacity for another endpoint.
    #[error("{limit} endpoints are known (at most {limit} are allowed)")]
    Full {
        /// The capacity of the table, `MAX_ENDPOINTS`.
        limit: usize,
    },
    /// The table has no endpoint with this id.
    #[error("endpoint {id} is not known")]
    Unknown {
        /// The endpoint that is to leave.
        id: EndpointId,
    },
}
