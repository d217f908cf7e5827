//! Chooses the endpoint of a plain call, and judges endpoints by the calls of this host.

mod candidate;
mod data_centre_reachability;
mod endpoint_health;
mod pick_endpoint;

pub use candidate::Candidate;
pub use data_centre_reachability::DataCentreReachability;
pub use endpoint_health::EndpointHealth;
pub use pick_endpoint::pick_endpoint;
