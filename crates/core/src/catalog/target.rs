use crate::id::ServiceName;
use crate::unit::Weight;

/// A service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests; the shares of a route do not add up to 0.
    pub weight: Weight,
}
