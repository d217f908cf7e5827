use masticstair_core::prelude::*;
use slog::info;
use std::fmt::Write;
use std::time::Duration;

use crate::Gateway;
use crate::front_end::RequestMeta;

/// Events of a request; logged as one line when the request ends.
#[derive(Clone, Debug)]
pub(crate) struct RequestTimeline {
    /// Identifies this attempt at the request.
    pub(crate) call: CallId,
    pub(crate) arrived: Timestamp,
    pub(crate) catalog: CatalogVersion,
    pub(crate) route: Option<RouteName>,
    pub(crate) service: Option<ServiceName>,
    /// When the last stage completed.
    pub(crate) staged_at: Option<Timestamp>,
    /// When the answer or its first event arrived.
    pub(crate) first_answer_at: Option<Timestamp>,
    /// The endpoints that were tried and the result of each call, in order.
    pub(crate) attempts: String,
    /// The software that wrote the first event of a stream.
    pub(crate) software: Option<SoftwareVersion>,
    /// The attempt that brought the first event of a stream that the client takes up.
    resumes: Option<CallId>,
    /// The last event that the client has of such a stream.
    resume_after: Option<u64>,
    /// How long the catalog had been in force here when the request arrived.
    catalog_age: Duration,
    /// The longest time for which this host may have lacked changes when it decided on the request.
    news_age: Duration,
    timeout: Option<Millis>,
}

impl RequestTimeline {
    pub(crate) fn new(now: Timestamp, meta: &RequestMeta) -> Self {
        Self {
            call: meta.call.clone(),
            arrived: now,
            catalog: CatalogVersion::default(),
            route: None,
            service: None,
            staged_at: None,
            first_answer_at: None,
            attempts: String::new(),
            software: None,
            resumes: meta.resumes.clone(),
            resume_after: meta.resume_after,
            catalog_age: Duration::ZERO,
            news_age: Duration::ZERO,
            timeout: meta.timeout,
        }
    }

    /// Records the catalog that decides on the request.
    pub(crate) fn record_catalog(&mut self, gw: &Gateway, version: CatalogVersion) {
        self.catalog = version;
        self.catalog_age = gw.now().since(gw.catalog.since());
    }

    /// Records the age of what this host acts by, where it decides on the request.
    pub(crate) fn record_news_age(&mut self, gw: &Gateway) {
        self.news_age = self.news_age.max(gw.news_age());
    }

    /// Appends the result of a call to an endpoint.
    pub(crate) fn record_attempt(&mut self, endpoint: &EndpointId, end: &str, took: Duration) {
        let space = if self.attempts.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = write!(self.attempts, "{space}{endpoint}:{end}:{}ms", took.as_millis());
    }

    /// Logs the request and counts it.
    pub(crate) fn finish(&self, gw: &Gateway, outcome: &'static str, detail: &str) {
        let now = gw.now();
        let since = |at: Timestamp| at.since(self.arrived).as_millis() as u64;
        let first = self.first_answer_at.map(|at| at.since(self.arrived));
        gw.metrics.count_request(self.route.as_ref(), outcome, first);
        info!(gw.log, "request finished"; "request" => %self.call, "outcome" => outcome,
            "route" => self.route.as_ref().map(ToString::to_string),
            "service" => self.service.as_ref().map(ToString::to_string),
            "catalog" => %self.catalog, "catalog_ms" => self.catalog_age.as_millis() as u64,
            "news_ms" => self.news_age.as_millis() as u64,
            "budget_ms" => self.timeout.map(|timeout| timeout.get()),
            "staged_ms" => self.staged_at.map(since), "first_ms" => self.first_answer_at.map(since),
            "end_ms" => since(now), "attempts" => &self.attempts, "detail" => detail,
            "software" => self.software.as_ref().map(ToString::to_string),
            "resumes" => self.resumes.as_ref().map(ToString::to_string),
            "resume_after" => self.resume_after);
    }
}
