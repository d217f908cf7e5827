//! Latency and success estimates from the calls of the local host.
//!
//! A host keeps a [`PoolEstimate`] per stage and an [`EndpointEstimate`] per endpoint and stage. The
//! mean and deviation follow the smoothed round-trip time estimator of RFC 6298.

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
