use masticstair_core::prelude::*;
use masticstair_net::http::server::Response;

use crate::Gateway;
use crate::front_end::Refusal;
use crate::telemetry::RequestTimeline;

/// Ends a request without an answer from an endpoint.
pub(super) fn refuse(gw: &Gateway, timeline: &RequestTimeline, refusal: &Refusal) -> Response {
    let outcome = match refusal.outcome {
        RefusalOutcome::NotRun => "not_run",
        RefusalOutcome::Failed => "failed",
        RefusalOutcome::Unknown => "unknown",
    };
    timeline.finish(gw, outcome, &format!("{}: {}", refusal.reason, refusal.detail));
    (gw.front_end.refuse)(refusal)
}
