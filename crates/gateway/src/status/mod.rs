//! What a gateway tells operators of the deployment.

mod gateway_status;
mod paused_endpoint;
mod rejected_prompt;
mod rejected_request;

pub use gateway_status::GatewayStatus;
pub use paused_endpoint::PausedEndpoint;
pub use rejected_prompt::RejectedPrompt;
pub use rejected_request::RejectedRequest;

use masticstair_core::prelude::*;
use masticstair_policy::poison::Verdict;
use masticstair_policy::request_crashes::RequestVerdict;
use std::time::Duration;

use crate::Gateway;

/// Returns the status of a gateway.
pub(crate) fn gateway_status(gw: &Gateway) -> GatewayStatus {
    let now = gw.now();
    let (prompts, requests) = (gw.poison.borrow(), gw.request_crashes.borrow());
    let rejected_request = |verdict: &RequestVerdict| RejectedRequest {
        content: verdict.request,
        crashes: requests.crashes_of(verdict.request),
        left: millis(requests.left(now, verdict)),
    };
    let rejected_prompt = |verdict: &Verdict| RejectedPrompt {
        service: verdict.service.clone(),
        parts: verdict.parts.clone(),
        crashes: verdict.crashes,
        left: millis(prompts.left(now, verdict)),
    };
    let pauses = gw.pauses.borrow();
    let paused = pauses
        .paused(now)
        .map(|(endpoint, left)| PausedEndpoint { endpoint: endpoint.clone(), left: millis(left) });
    let mut paused_endpoints: Vec<_> = paused.collect();
    paused_endpoints.sort_unstable_by(|a, b| a.endpoint.cmp(&b.endpoint));
    let mut leaving_endpoints = gw.directory.borrow().departures_after(0, false);
    leaving_endpoints.sort_unstable_by(|a, b| a.endpoint.cmp(&b.endpoint));
    let (answering_hosts, silent_hosts) = gw.control_contacts();
    GatewayStatus {
        catalog: gw.catalog.version(),
        answering_hosts,
        silent_hosts,
        rejected_requests: requests.verdicts().iter().map(rejected_request).collect(),
        rejected_prompts: prompts.verdicts().iter().map(rejected_prompt).collect(),
        paused_endpoints,
        leaving_endpoints,
        evacuation_revision: gw.evacuations.borrow().revision(),
        evacuated_data_centres: gw.evacuations.borrow().evacuated().cloned().collect(),
        unserved_services: gw.unserved_services(),
    }
}

fn millis(duration: Duration) -> Millis {
    Millis::new(duration.as_millis() as u64)
}
