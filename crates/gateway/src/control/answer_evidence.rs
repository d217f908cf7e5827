use masticstair_policy::poison::EvidenceUpdate;
use std::time::Duration;

use crate::Gateway;
use crate::messages::EvidenceRequest;

/// The longest time that a host waits for evidence, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Merges the evidence of another host, and replies as soon as there is evidence that it lacks, or when its wait ends.
pub(crate) async fn answer_evidence(gw: &Gateway, request: EvidenceRequest) -> EvidenceUpdate {
    let until = gw.now().plus(request.wait.duration().min(MAX_WAIT));
    gw.change_evidence(|table, now| table.merge(now, request.changes));
    let is_known = request.incarnation == gw.incarnation;
    let reached = if is_known { request.position } else { 0 };
    loop {
        let now = gw.now();
        let left = until.since(now);
        let position = gw.poison.borrow().position();
        if !is_known || position > reached || left.is_zero() {
            let changes = gw.poison.borrow().changes_after(now, reached, false);
            return EvidenceUpdate { incarnation: gw.incarnation, position, changes };
        }
        gw.poison_changed.notified(left).await;
    }
}
