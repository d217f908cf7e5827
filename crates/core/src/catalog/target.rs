use crate::id::ServiceName;
use crate::unit::Weight;

/// One of the services among which a route splits its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// A service of the catalog.
    pub service: ServiceName,
    /// The relative share of the requests; 0 sends none.
    pub weight: Weight,
}
