//! Chooses the endpoint of a plain call, and judges endpoints by the calls of this host.

mod candidate;
mod data_centre_reach;
mod endpoint_health;
mod pick;

pub use candidate::Candidate;
pub use data_centre_reach::DataCentreReach;
pub use endpoint_health::EndpointHealth;
pub use pick::pick_endpoint;
