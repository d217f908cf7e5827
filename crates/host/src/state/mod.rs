//! State shared by the threads of a host.

mod behind_since;
mod bundle_in_force;
mod clock;
mod current_bundle;
mod drain;
mod host_state;
mod in_flight;
mod not_serving;
mod serving;

pub use bundle_in_force::BundleInForce;
pub use clock::Clock;
pub use current_bundle::CurrentBundle;
pub use drain::Drain;
pub use host_state::HostState;
pub use in_flight::InFlight;
pub use not_serving::NotServing;
