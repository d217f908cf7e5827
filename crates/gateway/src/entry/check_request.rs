use masticstair_core::prelude::*;
use masticstair_policy::request_crashes::{RequestStanding, RequestVerdict};

use super::check_stage::stage_standing;
use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};

/// Returns what is known of a request that has the same content.
pub(super) fn request_standing(gw: &Gateway, req: &ClientRequest) -> RequestStanding {
    let crashes = gw.request_crashes.borrow();
    match crashes.is_empty() {
        // The digest is computed only if there is something to compare it with.
        true => RequestStanding::Clear,
        false => crashes.standing(gw.now(), req.content()),
    }
}

/// Refuses a request that is known to crash endpoints, before any work is done for it.
pub(super) fn check_request(gw: &Gateway, req: &ClientRequest) -> Result<(), Refusal> {
    let stages = req.route.stages.iter().map(|stage| stage_standing(gw, req, &stage.service));
    for standing in stages.chain([request_standing(gw, req)]) {
        if let RequestStanding::Rejected { verdict, left } = standing {
            return Err(crash_refusal(&verdict, left));
        }
    }
    Ok(())
}

/// Builds the refusal of an attempt that was not run. It may be served once the verdict has ended, `left` from now.
pub(super) fn crash_refusal(verdict: &RequestVerdict, left: Millis) -> Refusal {
    Refusal::not_run(RefusalReason::PoisonRequest, verdict.to_string()).with_retry_after(left)
}

/// Records that an endpoint has answered a request completely; it was sent at `sent_at`.
pub(super) fn record_request_answer(gw: &Gateway, req: &ClientRequest, sent_at: Timestamp) {
    if !gw.request_crashes.borrow().is_empty() {
        gw.change_request_crashes(|table, now| table.record_answer(now, req.content(), sent_at));
    }
}
