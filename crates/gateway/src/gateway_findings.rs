//! What the answers of endpoints and other hosts tell of endpoints, prompts and requests.

use masticstair_core::prelude::*;
use masticstair_policy::directory::{DepartureNotice, ServingEndpoint};
use masticstair_policy::endpoint_limits::LimitNotice;
use masticstair_policy::poison::PoisonTable;
use masticstair_policy::request_crashes::RequestCrashes;
use slog::{info, warn};

use crate::Gateway;
use crate::front_end::AnswerMeta;

impl Gateway {
    /// Records what any answer of an endpoint says of the endpoint, whichever request it belongs to.
    pub(crate) fn record_answer(&self, endpoint: &ServingEndpoint, meta: &AnswerMeta) {
        self.liveness.borrow_mut().record_answer(self.now(), &endpoint.id);
        self.record_answered_warmup(endpoint, meta);
        self.record_load(endpoint, meta);
        if meta.leaving && self.record_departure(&endpoint.id, endpoint.incarnation) {
            info!(self.log, "endpoint states that it is leaving"; "endpoint" => %endpoint.id,
                "incarnation" => %endpoint.incarnation, "service" => %endpoint.service);
        }
    }

    /// Records whether the answer to a request that was sent at `sent_at` asks for a pause.
    pub(crate) fn record_pause(
        &self,
        endpoint: &ServingEndpoint,
        meta: &AnswerMeta,
        sent_at: Timestamp,
    ) {
        if meta.is_other_endpoint {
            return;
        }
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let mut pauses = self.pauses.borrow_mut();
        let Some(pause) = meta.pause else {
            pauses.record_answer(id, incarnation, sent_at);
            return;
        };
        if pauses.record(self.now(), id, incarnation, pause) {
            info!(self.log, "endpoint asks this host for a pause"; "endpoint" => %id,
                "incarnation" => %incarnation, "service" => %endpoint.service,
                "pause_ms" => pause.get());
        }
    }

    /// Records that an endpoint told this host that it leaves, so that it gets no more work from any host; returns whether
    /// that was new. Its announcements may reach the control hosts later, or not at all.
    pub(crate) fn record_departure(&self, id: &EndpointId, incarnation: Incarnation) -> bool {
        let is_new = self.directory.borrow_mut().record_departure(self.now(), id, incarnation);
        if is_new {
            self.findings_changed.notify();
            self.metrics.endpoints.set(self.directory.borrow().ready_count() as i64);
        }
        is_new
    }

    /// Merges what other hosts know of leaving endpoints.
    pub(crate) fn merge_departures(&self, notices: Vec<DepartureNotice>) {
        if !notices.is_empty() && self.directory.borrow_mut().merge_departures(self.now(), notices)
        {
            self.findings_changed.notify();
            self.metrics.endpoints.set(self.directory.borrow().ready_count() as i64);
        }
    }

    /// Records the limit that an answer of an endpoint names, or that it names none; the request was sent at `sent_at`.
    pub(crate) fn record_limit(
        &self,
        endpoint: &ServingEndpoint,
        limit: Option<RatePerSecond>,
        sent_at: Timestamp,
    ) {
        let changed =
            self.limits.borrow_mut().record(&endpoint.id, endpoint.incarnation, limit, sent_at);
        if !changed {
            return;
        }
        self.on_limits_changed();
        info!(self.log, "endpoint changed its limit"; "endpoint" => %endpoint.id,
            "incarnation" => %endpoint.incarnation, "service" => %endpoint.service,
            "limit_per_s" => limit.map(RatePerSecond::get));
    }

    /// Merges what other hosts know of the limits of endpoints.
    pub(crate) fn merge_limits(&self, notices: Vec<LimitNotice>) {
        if !notices.is_empty() && self.limits.borrow_mut().merge(self.now(), notices) {
            self.on_limits_changed();
        }
    }

    fn on_limits_changed(&self) {
        let limited = self.limits.borrow().limited_count();
        self.metrics.limited_endpoints.set(limited as i64);
        self.findings_changed.notify();
    }

    /// Changes the evidence on prompts with `f`, which returns whether it did. Tells the other hosts, and logs verdicts
    /// that are new or have gone.
    pub(crate) fn change_evidence(&self, f: impl FnOnce(&mut PoisonTable, Timestamp) -> bool) {
        let before = self.poison.borrow().verdicts().to_vec();
        if !f(&mut self.poison.borrow_mut(), self.now()) {
            return;
        }
        let table = self.poison.borrow();
        let verdicts = table.verdicts();
        for verdict in verdicts.iter().filter(|v| !before.iter().any(|b| b.parts == v.parts)) {
            warn!(self.log, "prompts with these parts crash engines; rejecting them";
                "service" => %verdict.service, "evidence" => %verdict);
        }
        for verdict in before.iter().filter(|b| !verdicts.iter().any(|v| b.parts == v.parts)) {
            info!(self.log, "prompts with these parts are no longer rejected";
                "service" => %verdict.service, "evidence" => %verdict);
        }
        self.metrics.poison_verdicts.set(verdicts.len() as i64);
        self.findings_changed.notify();
    }

    /// Changes what is known of requests that crash endpoints with `f`, which returns whether it did. Tells the other
    /// hosts, and logs verdicts that are new or have gone.
    pub(crate) fn change_request_crashes(
        &self,
        f: impl FnOnce(&mut RequestCrashes, Timestamp) -> bool,
    ) {
        let before = self.request_crashes.borrow().verdicts().to_vec();
        if !f(&mut self.request_crashes.borrow_mut(), self.now()) {
            return;
        }
        let table = self.request_crashes.borrow();
        let verdicts = table.verdicts();
        for verdict in verdicts.iter().filter(|v| !before.iter().any(|b| b.request == v.request)) {
            warn!(self.log, "request crashes endpoints; rejecting it";
                "content" => %verdict.request, "evidence" => %verdict);
        }
        for verdict in before.iter().filter(|b| !verdicts.iter().any(|v| b.request == v.request)) {
            info!(self.log, "request is no longer rejected";
                "content" => %verdict.request, "evidence" => %verdict);
        }
        self.metrics.poison_requests.set(verdicts.len() as i64);
        let explained = table.explained();
        self.change_evidence(|table, now| table.set_explained(now, explained));
        self.findings_changed.notify();
    }
}
