use std::time::Duration;

use crate::Gateway;
use crate::messages::{FindingsReply, FindingsRequest};

/// The longest time that a host waits for news, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Merges the findings of another host, and replies as soon as there are some that it lacks, or when its wait ends.
pub(crate) async fn answer_findings(gw: &Gateway, request: FindingsRequest) -> FindingsReply {
    let until = gw.now().plus(request.wait.duration().min(MAX_WAIT));
    gw.change_evidence(|table, now| table.merge(now, request.evidence));
    gw.merge_limits(request.limits);
    let is_known = request.incarnation == gw.incarnation;
    let (evidence_after, limits_after) = match is_known {
        true => (request.evidence_position, request.limits_position),
        false => (0, 0),
    };
    loop {
        let left = until.since(gw.now());
        let evidence_position = gw.poison.borrow().position();
        let limits_position = gw.limits.borrow().position();
        let has_news = evidence_position > evidence_after || limits_position > limits_after;
        if !is_known || has_news || left.is_zero() {
            let now = gw.now();
            return FindingsReply {
                incarnation: gw.incarnation,
                evidence_position,
                limits_position,
                evidence: gw.poison.borrow().changes_after(now, evidence_after, false),
                limits: gw.limits.borrow().changes_after(now, limits_after, false),
            };
        }
        gw.findings_changed.notified(left).await;
    }
}
