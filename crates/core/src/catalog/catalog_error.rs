use thiserror::Error;

use crate::id::{AccountId, RouteName, ServiceName};

/// The reason why a catalog is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// The front end cannot parse the document.
    #[error("the document cannot be read: {0}")]
    Unreadable(Box<str>),
    /// A route names a service that is not in the catalog.
    #[error("route {route} names the service {service}, which the catalog does not have")]
    UnknownService {
        /// The route that names the service.
        route: RouteName,
        /// The name that is missing from the catalog.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes have the host {host:?} and the prefix {prefix:?}")]
    DuplicateRoute {
        /// The HTTP host that both routes name, in lower case.
        host: Box<str>,
        /// The path prefix that both routes name.
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
        /// The route that the stage belongs to.
        route: RouteName,
        /// The index of the stage within the route, from 0.
        stage: usize,
    },
    /// Two accounts have the same key.
    #[error("accounts {} and {} share a key", .0[0], .0[1])]
    SharedKey([AccountId; 2]),
}
