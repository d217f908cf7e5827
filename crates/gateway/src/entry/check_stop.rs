use masticstair_core::prelude::*;

use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};

/// Retry delay sent to clients that are to go to another host.
const STOPPING_RETRY_AFTER: Millis = Millis::new(100);

/// Refuses a request that may not end before this host stops.
pub(super) fn check_stop(gw: &Gateway, req: &ClientRequest) -> Result<(), Refusal> {
    let Some(stop) = gw.planned_stop.get() else { return Ok(()) };
    let now = gw.now();
    if stop.may_begin(now, req.deadline, req.route.kind.is_repeatable()) {
        return Ok(());
    }
    let detail = format!("this host stops in {} ms", stop.ends.since(now).as_millis());
    Err(Refusal::not_run(RefusalReason::Stopping, detail).with_retry_after(STOPPING_RETRY_AFTER))
}

/// Builds the refusal of a request that has no answer when this host stops. It may have run.
pub(super) fn stop_refusal() -> Refusal {
    Refusal::unknown(RefusalReason::Stopping, "this host stops before the endpoint has answered")
}
