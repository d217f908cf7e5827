use std::time::Duration;

use crate::Gateway;
use crate::finding_positions::FindingPositions as Positions;
use crate::messages::{FindingsReply, FindingsRequest};

/// The longest time that a host waits for news, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Merges the findings of another host, and replies as soon as there are some that it lacks, or when its wait ends.
pub(crate) async fn answer_findings(gw: &Gateway, request: FindingsRequest) -> FindingsReply {
    let until = gw.now().plus(request.wait.duration().min(MAX_WAIT));
    // Before the evidence, which they may explain.
    gw.change_request_crashes(|table, now| table.merge(now, request.crashes));
    gw.change_evidence(|table, now| table.merge(now, request.evidence));
    gw.merge_limits(request.limits);
    gw.merge_departures(request.departures);
    gw.merge_engine_measurements(request.engines);
    let is_known = request.incarnation == gw.incarnation;
    let after = match is_known {
        true => Positions {
            evidence: request.evidence_position,
            limits: request.limits_position,
            departures: request.departures_position,
            crashes: request.crashes_position,
        },
        false => Positions::default(),
    };
    loop {
        let left = until.since(gw.now());
        let position = Positions::shared(gw);
        if !is_known || position.is_after(&after) || left.is_zero() {
            let now = gw.now();
            return FindingsReply {
                incarnation: gw.incarnation,
                evidence_position: position.evidence,
                limits_position: position.limits,
                evidence: gw.poison.borrow().changes_after(now, after.evidence, false),
                limits: gw.limits.borrow().changes_after(now, after.limits, false),
                departures_position: position.departures,
                departures: gw.directory.borrow().departures_after(after.departures, false),
                crashes_position: position.crashes,
                crashes: gw.request_crashes.borrow().changes_after(now, after.crashes, false),
                engines: gw.pool_estimates(),
            };
        }
        gw.findings_changed.notified(left).await;
    }
}
