use masticstair_core::id::{EndpointId, Incarnation};
use thiserror::Error;

/// The reason for which an announcement is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AnnounceError {
    /// A later life of the endpoint is known.
    #[error("endpoint {id} has incarnation {known}, incarnation {announced} is over")]
    Outdated {
        /// The endpoint.
        id: EndpointId,
        /// The incarnation that was announced.
        announced: Incarnation,
        /// The incarnation that is known.
        known: Incarnation,
    },
    /// The endpoint said that it leaves.
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
        /// The greatest number of endpoints.
        limit: usize,
    },
    /// The endpoint is not known.
    #[error("endpoint {id} is not known")]
    Unknown {
        /// The endpoint.
        id: EndpointId,
    },
}
