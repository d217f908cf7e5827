use masticstair_core::catalog::ColdLimits;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long after the question for it a permit may be used. Requests that are sent later would add to those of the next
/// permits.
pub const COLD_PERMIT_VALIDITY: Duration = Duration::from_millis(250);

/// The longest time from the send of a request to its arrival that the bound allows for; a new connection is part of it.
const MAX_TRANSIT: Duration = Duration::from_millis(250);

/// The permits that the owner of a cold endpoint gives.
///
/// A request arrives at most `COLD_PERMIT_VALIDITY` and `MAX_TRANSIT` after its permit was given. The arrivals of a second
/// therefore have the permits of a second and a half: `1.5 * rate + burst` is at most the bound.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdBudget {
    /// Permits a second.
    pub rate: RatePerSecond,
    /// Permits that may be given at once after a pause; at least 1.
    pub burst: f64,
}

impl ColdBudget {
    /// Returns the permits for an endpoint that may get `rate * overage + allowance` requests in any second.
    pub fn new(limits: &ColdLimits, overage: f64, allowance: f64) -> Self {
        let bound = limits.rate.get() * overage + allowance;
        let period = 1.0 + (COLD_PERMIT_VALIDITY + MAX_TRANSIT).as_secs_f64();
        // A bound of about 1 leaves nothing beside the burst; half of it is spent on the rate then.
        let most = (bound - 1.0).max(bound / 2.0) / period;
        let rate = limits.rate.get().min(most);
        let burst = (bound - period * rate).clamp(1.0, allowance.max(1.0));
        Self { rate: RatePerSecond::try_from(rate).unwrap_or_default(), burst }
    }
}
