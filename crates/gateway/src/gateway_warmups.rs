//! Which endpoints are cold, and whether this host gives the permits for them.

use masticstair_core::prelude::*;
use masticstair_policy::directory::{ListingUpdate, ServingEndpoint};
use masticstair_policy::warmups::ColdBudget;
use slog::info;
use std::time::Duration;

use crate::Gateway;
use crate::front_end::AnswerMeta;

impl Gateway {
    /// Records how long the listed endpoints stay cold.
    pub(crate) fn record_listed_warmups(&self, update: &ListingUpdate) {
        for endpoint in update.listed() {
            self.record_warmup(endpoint, endpoint.cold.duration());
        }
    }

    /// Records how long an endpoint stays cold by its answer, if the answer says so.
    pub(crate) fn record_answered_warmup(&self, endpoint: &ServingEndpoint, meta: &AnswerMeta) {
        if let (Some(left), false) = (meta.warmup, meta.is_other_endpoint) {
            self.record_warmup(endpoint, left.duration());
        }
    }

    fn record_warmup(&self, endpoint: &ServingEndpoint, left: Duration) {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        if self.warmups.borrow_mut().record(self.now(), id, incarnation, left) {
            info!(self.log, "endpoint is cold"; "endpoint" => %id, "incarnation" => %incarnation,
                "service" => %endpoint.service, "left_ms" => left.as_millis() as u64);
            self.on_warmups_changed();
        }
    }

    /// Treats the endpoints of a data centre as cold that may have turned cold without a word, as at the end of an
    /// evacuation. They are warm again after the warm-up of their service, unless they announce a longer one.
    pub(crate) fn suspect_cold(&self, data_centre: &DataCentreId) {
        let Some(catalog) = self.catalog.get() else { return };
        for (service, cold) in catalog.services.values().filter_map(|s| Some((&s.name, s.cold?))) {
            let ready = self.directory.borrow().ready(service);
            for endpoint in ready.iter().filter(|e| e.data_centre == *data_centre) {
                self.suspect_endpoint(endpoint, cold.warmup.duration());
            }
        }
        self.on_warmups_changed();
    }

    /// Treats an endpoint as cold that may have started again under the same name and address, before it is listed anew.
    pub(crate) fn suspect_restart(&self, endpoint: &ServingEndpoint) {
        let Some(catalog) = self.catalog.get() else { return };
        if let Some(cold) = catalog.services.get(&endpoint.service).and_then(|s| s.cold) {
            self.suspect_endpoint(endpoint, cold.warmup.duration());
            self.on_warmups_changed();
        }
    }

    fn suspect_endpoint(&self, endpoint: &ServingEndpoint, warmup: Duration) {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        if self.warmups.borrow_mut().suspect_cold(self.now(), id, incarnation, warmup) {
            info!(self.log, "endpoint may be cold"; "endpoint" => %id,
                "incarnation" => %incarnation, "service" => %endpoint.service,
                "left_ms" => warmup.as_millis() as u64);
        }
    }

    /// Returns how much longer an endpoint stays cold; zero if it is warm.
    pub(crate) fn warmup_of(&self, endpoint: &ServingEndpoint) -> Duration {
        self.warmups.borrow().left(self.now(), &endpoint.id, endpoint.incarnation)
    }

    /// Returns whether an endpoint of a service is cold.
    pub(crate) fn has_cold(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.warmups.borrow().cold_count(now) > 0
            && self.directory.borrow().ready(service).iter().any(|e| self.cold_budget(e).is_some())
    }

    /// Returns the time until an endpoint that is cold or names a limit may be asked for a permit; zero if it may be now.
    pub(crate) fn permit_wait(&self, endpoint: &ServingEndpoint) -> Duration {
        let (now, id, incarnation) = (self.now(), &endpoint.id, endpoint.incarnation);
        let limited = self.limits.borrow().wait(now, id, incarnation);
        limited.max(self.warmups.borrow().wait(now, id, incarnation))
    }

    /// Returns the permits for a cold endpoint; none if it is warm, or its service bears any rate while it is cold.
    pub(crate) fn cold_budget(&self, endpoint: &ServingEndpoint) -> Option<ColdBudget> {
        if self.warmup_of(endpoint).is_zero() {
            return None;
        }
        let catalog = self.catalog.get()?;
        let limits = catalog.services.get(&endpoint.service)?.cold?;
        Some(ColdBudget::new(&limits, self.cfg.cold_overage, self.cfg.cold_allowance))
    }

    /// Returns whether this host gives the permits for a cold endpoint now.
    pub(crate) fn gives_cold_permits(&self, endpoint: &EndpointId) -> bool {
        let now = self.now();
        self.observe_ownership();
        self.cfg.control_listen.is_some()
            && self.permit_ownership.borrow().is_owner(now, &self.host, endpoint)
    }

    fn observe_ownership(&self) {
        let (answering, silent) = self.control_contacts();
        let has_majority = answering.len() + 1 > silent.len();
        let view = self.peers();
        let alive = view.hosts.iter().filter(|h| h.is_control && h.is_alive && h.client.is_some());
        let alive = alive.map(|h| &h.host);
        self.permit_ownership.borrow_mut().observe(self.now(), alive, has_majority);
    }

    /// Logs the endpoints that have become warm, and follows which control hosts are alive.
    pub(crate) fn maintain_warmups(&self) {
        let warm = self.warmups.borrow_mut().expire(self.now());
        for endpoint in &warm {
            info!(self.log, "endpoint is warm"; "endpoint" => %endpoint);
        }
        if !warm.is_empty() {
            self.on_warmups_changed();
        }
        if self.cfg.control_listen.is_some() {
            self.observe_ownership();
        }
    }

    fn on_warmups_changed(&self) {
        let cold = self.warmups.borrow().cold_count(self.now());
        self.metrics.cold_endpoints.set(cold as i64);
    }
}
