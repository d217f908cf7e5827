//! Latency estimates from a host's own calls.
//!
//! A host keeps a [`PoolEstimate`] for each stage and an [`EndpointEstimate`] for each endpoint and
//! stage. The mean and deviation follow the smoothed round-trip estimator of RFC 6298.

mod call_in_flight;
mod call_number;
mod call_outcome;
mod endpoint_estimate;
mod floor;
mod latency;
mod micros;
mod moving_mean;
mod pool_estimate;
mod share;
#[cfg(test)]
mod tests;

pub use call_number::CallNumber;
pub use call_outcome::CallOutcome;
pub use endpoint_estimate::EndpointEstimate;
pub use latency::Latency;
pub use pool_estimate::PoolEstimate;
pub use share::{Share, ShareError};

pub(crate) use call_in_flight::CallInFlight;
pub(crate) use floor::Floor;
pub(crate) use micros::{micros, micros_since};
pub(crate) use moving_mean::MovingMean;
