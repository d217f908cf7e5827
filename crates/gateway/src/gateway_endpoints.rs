//! Which endpoints take work from this host.

use masticstair_core::prelude::*;
use masticstair_net::http::relay::RelayError;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::service_choice::EndpointHealth;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Gateway;

impl Gateway {
    /// Returns the endpoints of a service that take new work from this host. Data centres that it cannot reach are
    /// left out while endpoints in others remain, evacuated ones in any case.
    pub(crate) fn endpoints(&self, service: &ServiceName) -> Arc<[Arc<ServingEndpoint>]> {
        let ready = self.without_evacuated(self.directory.borrow().ready(service));
        let ready = self.without_paused(ready);
        let now = self.now();
        let reachability = self.reachability.borrow();
        let is_reachable = |e: &&Arc<ServingEndpoint>| {
            !reachability
                .get(&e.data_centre)
                .is_some_and(|reachability| reachability.is_in_backoff(now))
        };
        let reachable = ready.iter().filter(is_reachable).count();
        match reachable {
            0 => ready,
            _ if reachable == ready.len() => ready,
            _ => ready.iter().filter(is_reachable).cloned().collect(),
        }
    }

    fn without_paused(&self, ready: Arc<[Arc<ServingEndpoint>]>) -> Arc<[Arc<ServingEndpoint>]> {
        let is_paused = |e: &Arc<ServingEndpoint>| !self.pause_of(e).is_zero();
        match ready.iter().any(is_paused) {
            false => ready,
            true => ready.iter().filter(|e| !is_paused(e)).cloned().collect(),
        }
    }

    /// Returns for how long an endpoint must get nothing from this host.
    pub(crate) fn pause_of(&self, endpoint: &ServingEndpoint) -> Duration {
        self.pauses.borrow().left(self.now(), &endpoint.id, endpoint.incarnation)
    }

    /// Returns for how long the endpoint at an address must get nothing from this host.
    pub(crate) fn pause_at(&self, service: &ServiceName, address: SocketAddr) -> Duration {
        let ready = self.directory.borrow().ready(service);
        let endpoint = ready.iter().find(|e| e.address == address);
        endpoint.map(|e| self.pause_of(e)).unwrap_or_default()
    }

    /// Returns the time until the first endpoint of a service takes work from this host again, if all of them have asked
    /// it for a pause.
    pub(crate) fn service_pause(&self, service: &ServiceName) -> Option<Duration> {
        let ready = self.without_evacuated(self.directory.borrow().ready(service));
        let first = ready.iter().map(|e| self.pause_of(e)).min()?;
        Some(first).filter(|left| !left.is_zero())
    }

    /// Returns whether an endpoint still takes new work from this host. That may have changed while a request waited.
    pub(crate) fn takes_work(&self, endpoint: &ServingEndpoint) -> bool {
        self.directory.borrow().is_ready(endpoint)
            && self.pause_of(endpoint).is_zero()
            && !self.is_evacuated(&endpoint.data_centre)
    }

    /// Returns whether an endpoint names a limit for the requests of all hosts.
    pub(crate) fn is_limited(&self, endpoint: &ServingEndpoint) -> bool {
        let limits = self.limits.borrow();
        limits.limit(self.now(), &endpoint.id, endpoint.incarnation).is_some()
    }

    /// Records that a request is about to be sent to an endpoint.
    pub(crate) fn record_request(&self, endpoint: &ServingEndpoint) {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        self.pauses.borrow_mut().record_request(self.now(), id, incarnation);
    }

    /// Records whether the data centre of an endpoint was reachable for a call. Only connect errors count as
    /// failures.
    pub(crate) fn record_reachability(
        &self,
        endpoint: &ServingEndpoint,
        error: Option<&RelayError>,
    ) {
        let mut all = self.reachability.borrow_mut();
        let reachability = all.entry(endpoint.data_centre.clone()).or_default();
        match error {
            None => reachability.record_answer(),
            Some(RelayError::Connect { .. } | RelayError::ConnectTimeout(..)) => {
                let was_in_backoff = reachability.is_in_backoff(self.now());
                reachability.record_failure(self.now());
                if !was_in_backoff && reachability.is_in_backoff(self.now()) {
                    slog::warn!(self.log,
                        "cannot connect to data centre; using endpoints in others while any are ready";
                        "data_centre" => %endpoint.data_centre, "endpoint" => %endpoint.id);
                }
            }
            Some(_) => {}
        }
    }

    /// Returns whether the data centre of an endpoint counts as not reachable.
    pub(crate) fn is_cut_off(&self, data_centre: &DataCentreId) -> bool {
        let reachability = self.reachability.borrow();
        reachability.get(data_centre).is_some_and(|r| r.is_in_backoff(self.now()))
    }

    /// Accesses the health record of an endpoint; the first access creates it.
    pub(crate) fn with_health<T>(
        &self,
        id: &EndpointId,
        f: impl FnOnce(&mut EndpointHealth) -> T,
    ) -> T {
        f(self.health.borrow_mut().entry(id.clone()).or_default())
    }
}
