//! Evidence on stages of requests that crash endpoints. It is kept apart from that on the request itself and on its other
//! stages, whose answers say nothing of the stage.

use masticstair_core::prelude::*;
use masticstair_policy::request_crashes::{RequestCrash, RequestStanding};
use slog::warn;

use super::client_request::ClientRequest;
use crate::Gateway;
use crate::messages::StageOutcome;
use crate::stages::StageEnd;

/// Returns what is known of the part of a request that a stage service does.
pub(super) fn stage_standing(
    gw: &Gateway,
    req: &ClientRequest,
    service: &ServiceName,
) -> RequestStanding {
    let crashes = gw.request_crashes.borrow();
    match crashes.is_empty() {
        true => RequestStanding::Clear,
        false => crashes.standing(gw.now(), req.content().at_stage(service)),
    }
}

/// Records the end of a stage that was submitted at `submitted_at`: the endpoints that ended during it, or its completion,
/// which clears it.
pub(super) fn record_stage_end(
    gw: &Gateway,
    req: &ClientRequest,
    service: &ServiceName,
    submitted_at: Timestamp,
    end: &StageEnd,
) {
    let content = || req.content().at_stage(service);
    let before = |now: Timestamp, age: Millis| {
        Timestamp::new(now.get().saturating_sub(age.duration().as_micros() as u64))
    };
    if matches!(end.outcome, StageOutcome::Done(_)) && !gw.request_crashes.borrow().is_empty() {
        gw.change_request_crashes(|table, now| table.record_answer(now, content(), submitted_at));
    }
    for crash in &end.crashes {
        warn!(gw.log, "endpoint ended during a stage of a request"; "request" => %req.meta.call,
            "content" => %content(), "service" => %service, "endpoint" => %crash.crash.endpoint,
            "incarnation" => %crash.crash.incarnation);
        gw.change_request_crashes(|table, now| {
            let crash = RequestCrash {
                request: content(),
                crash: crash.crash.clone(),
                sent_at: before(now, crash.sent_age),
                ended_at: before(now, crash.age),
            };
            table.record_crash(now, crash)
        });
    }
}
