use masticstair_core::prelude::*;
use std::time::Duration;

use super::attempt_failure::AttemptFailure;
use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};

/// The time after the end of a pause over which the clients that were refused return.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Builds the refusal of a request that was not run because all endpoints have asked this host for a pause.
pub(super) fn pause_refusal(
    gw: &Gateway,
    req: &ClientRequest,
    last: Option<&AttemptFailure>,
) -> Refusal {
    let left = gw.service_pause(&req.service).unwrap_or_default();
    let detail = format!(
        "the endpoints of service {} want nothing from this host for {} ms; {}",
        req.service,
        left.as_millis(),
        last.map_or("not sent", AttemptFailure::detail)
    );
    Refusal::not_run(RefusalReason::Paused, detail).with_retry_after(return_delay(left))
}

/// Returns the delay after which a client may return. One request tries an endpoint after its pause, so the others come
/// somewhat later, at different times.
pub(super) fn return_delay(left: Duration) -> Millis {
    let after = left + RETURN_SPREAD.mul_f64(Draw::new(rand::random()).fraction());
    Millis::new(after.as_millis() as u64 + 1)
}
