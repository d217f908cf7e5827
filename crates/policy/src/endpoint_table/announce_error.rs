use masticstair_core::id::{EndpointId, Incarnation};
use thiserror::Error;

/// The reason why an announcement is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AnnounceError {
    /// A later incarnation of the endpoint is known.
    #[error("endpoint {id} has incarnation {known}, incarnation {announced} is over")]
    Outdated {
        /// The endpoint.
        id: EndpointId,
        /// The incarnation that was announced.
        announced: Incarnation,
        /// The incarnation that is known.
        known: Incarnation,
    },
    /// The endpoint has left with this incarnation.
    #[error(
        "endpoint {id} left with incarnation {incarnation}; it can come back with a higher one"
    )]
    Left {
        /// The endpoint.
        id: EndpointId,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// The table is full.
    #[error("{limit} endpoints are known (at most {limit} are allowed)")]
    Full {
        /// The largest number of endpoints.
        limit: usize,
    },
    /// The table has no endpoint with this id.
    #[error("endpoint {id} is not known")]
    Unknown {
        /// The endpoint.
        id: EndpointId,
    },
}
