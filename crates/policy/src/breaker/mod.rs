//! Circuit breaker for an endpoint.
//!
//! A circuit breaker is closed, open (the endpoint is ejected), half-open (one probe is in flight) or
//! recovering (the endpoint gets a share of its traffic that doubles in steps).

mod breaker_state;
mod breaker_status;
mod circuit_breaker;
mod pool_health;
#[cfg(test)]
mod tests;
mod window;

pub use breaker_status::BreakerStatus;
pub use circuit_breaker::CircuitBreaker;
pub use pool_health::PoolHealth;

pub(crate) use breaker_state::BreakerState;
pub(crate) use window::Window;
