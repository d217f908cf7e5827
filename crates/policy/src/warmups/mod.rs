//! Which endpoints are cold, and how many requests a cold endpoint may get.

mod cold_budget;
mod permit_ownership;
mod warmup;

pub use cold_budget::{COLD_PERMIT_VALIDITY, ColdBudget};
pub use permit_ownership::{OWNER_SETTLE_TIME, PermitOwnership};

use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;
use warmup::Warmup;

/// The limit on endpoints in the table; words on further ones are ignored.
const MAX_ENDPOINTS: usize = 16_384;

/// The endpoints that are cold, as far as this host knows. An endpoint that is not in the table is warm: its listing, which
/// comes before the first request to it, says how long it stays cold.
#[derive(Debug, Default)]
pub struct Warmups {
    cold: HashMap<EndpointId, Warmup>,
    /// When the cold endpoints that denied a permit may be asked for again.
    denied_until: HashMap<EndpointId, Timestamp>,
}

impl Warmups {
    /// Records that a process of an endpoint stays cold for `left`, as its announcement or its answer says. A shorter time
    /// changes nothing, because words may overtake each other. Returns whether the endpoint turned cold by that.
    pub fn record(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        left: Duration,
    ) -> bool {
        let until = now.plus(left);
        let known = self.cold.get(endpoint);
        if until <= now
            || known.is_some_and(|known| known.incarnation > incarnation)
            || (known.is_none() && self.cold.len() >= MAX_ENDPOINTS)
        {
            return false;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        let was_cold = known.is_some_and(|known| known.until > now);
        let until = known.map_or(until, |known| known.until.max(until));
        self.cold.insert(endpoint.clone(), Warmup { incarnation, until });
        !was_cold
    }

    /// Treats an endpoint as cold that may have turned cold without a word: until its service has warmed up from now on.
    /// What it announces meanwhile may make it longer. Returns whether it counted as warm before.
    pub fn suspect_cold(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
        warmup: Duration,
    ) -> bool {
        self.record(now, endpoint, incarnation, warmup)
    }

    /// Returns how much longer a process of an endpoint stays cold; zero if it is warm.
    pub fn left(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Duration {
        let known = self.cold.get(endpoint).filter(|known| known.incarnation == incarnation);
        known.map(|known| known.until.since(now)).unwrap_or_default()
    }

    /// Records that there is no permit for an endpoint until `until`.
    pub fn record_denial(&mut self, endpoint: &EndpointId, until: Timestamp) {
        self.denied_until.insert(endpoint.clone(), until);
    }

    /// Returns the time until a cold endpoint may be asked for a permit; zero if it may be now, or is warm.
    pub fn wait(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> Duration {
        let Some(until) = self.denied_until.get(endpoint) else { return Duration::ZERO };
        until.since(now).min(self.left(now, endpoint, incarnation))
    }

    /// Returns the number of cold endpoints.
    pub fn cold_count(&self, now: Timestamp) -> usize {
        self.cold.values().filter(|known| known.until > now).count()
    }

    /// Removes the endpoints that are warm, and returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointId> {
        self.denied_until.retain(|_, until| *until > now);
        let warm = self.cold.iter().filter(|(_, known)| known.until <= now);
        let warm: Vec<_> = warm.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in &warm {
            self.cold.remove(endpoint);
        }
        warm
    }
}
