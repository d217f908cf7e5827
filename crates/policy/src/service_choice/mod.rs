//! Chooses the endpoint of a plain call, and judges endpoints by the calls of this host.

mod candidate;
mod endpoint_health;
mod pick;

pub use candidate::Candidate;
pub use endpoint_health::EndpointHealth;
pub use pick::pick_endpoint;
