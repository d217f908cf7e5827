//! Circuit breaker of an endpoint.
//!
//! A breaker is closed, open (the endpoint is ejected), probing (one call is tried) or recovering (a
//! share of the traffic that doubles in steps).

mod breaker_state;
mod circuit;
mod gate;
mod pool_health;
#[cfg(test)]
mod tests;
mod window;

pub use circuit::Breaker;
pub use gate::Gate;
pub use pool_health::PoolHealth;

pub(crate) use breaker_state::BreakerState;
pub(crate) use window::Window;
