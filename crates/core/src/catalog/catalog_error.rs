use thiserror::Error;

use crate::id::{AccountId, RouteName, ServiceName};

/// The reason for which a catalog is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// The document cannot be read.
    #[error("the document cannot be read: {0}")]
    Unreadable(Box<str>),
    /// A route names a service that is not in the catalog.
    #[error("route {route} names the service {service}, which the catalog does not have")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes have the host {host:?} and the prefix {prefix:?}")]
    DuplicateRoute {
        /// The host.
        host: Box<str>,
        /// The prefix.
        prefix: Box<str>,
    },
    /// The weights of a route add up to 0.
    #[error("the weights of route {0} add up to 0 (at least 1 is needed)")]
    NoWeight(RouteName),
    /// The timeout of a route is 0.
    #[error("the timeout of route {0} is 0 ms (at least 1 is needed)")]
    NoTimeout(RouteName),
    /// A stage needs results of a later stage or of itself.
    #[error("stage {stage} of route {route} needs results of a stage that is not before it")]
    StageOrder {
        /// The route.
        route: RouteName,
        /// The position of the stage.
        stage: usize,
    },
    /// Two accounts have the same key.
    #[error("accounts {} and {} share a key", .0[0], .0[1])]
    SharedKey([AccountId; 2]),
}
