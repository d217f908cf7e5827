//! Selects the endpoint of a plain call by the latencies and failures that this host observed.

mod candidate;
mod data_centre_reachability;
mod endpoint_health;
mod pick_endpoint;

pub use candidate::Candidate;
pub use data_centre_reachability::DataCentreReachability;
pub use endpoint_health::EndpointHealth;
pub use pick_endpoint::pick_endpoint;
