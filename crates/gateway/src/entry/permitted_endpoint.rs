use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::permission::Permission;
use crate::request_permit::request_permit;

/// How long a permit may wait for the stages of its request. Permits that are used later would add to those of the
/// time in which they are used.
const PERMIT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Endpoints with a limit that are asked for in turn for one attempt. Afterwards only those without one are left.
const MAX_ASKED: usize = 4;

/// An endpoint that may be sent a request now.
pub(super) struct PermittedEndpoint {
    pub(super) endpoint: Arc<ServingEndpoint>,
    /// The end of the permit; none if the endpoint has no limit.
    permit_until: Option<Timestamp>,
}

impl PermittedEndpoint {
    /// Returns whether there is a permit that is still valid.
    pub(super) fn holds_permit(&self, now: Timestamp) -> bool {
        self.permit_until.is_some_and(|until| now < until)
    }

    /// Returns whether the request may be sent.
    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        self.permit_until.is_none_or(|until| now < until)
    }
}

/// Chooses an endpoint that takes a request now; none if there is none. `choose` returns the best one that is not
/// among those it is given, which begin with `tried`.
///
/// # Errors
///
/// Returns the time until there is a permit, if the limits of the endpoints are all that prevents the request.
pub(super) async fn choose_permitted(
    gw: &Gateway,
    req: &ClientRequest,
    tried: &[EndpointId],
    choose: impl Fn(&[EndpointId]) -> Option<Arc<ServingEndpoint>>,
) -> Result<Option<PermittedEndpoint>, Duration> {
    let mut excluded = tried.to_vec();
    let mut waits: SmallVec<[Duration; 8]> = SmallVec::new();
    for endpoint in gw.endpoints(&req.service).iter() {
        let wait = gw.limits.borrow().wait(gw.now(), &endpoint.id, endpoint.incarnation);
        if !wait.is_zero() && !tried.contains(&endpoint.id) && req.may_use(endpoint) {
            waits.push(wait);
            excluded.push(endpoint.id.clone());
        }
    }
    for _ in 0..MAX_ASKED {
        let Some(endpoint) = choose(&excluded) else { break };
        let permit_until = match request_permit(gw, &endpoint).await {
            Permission::Unlimited => None,
            Permission::Granted => Some(gw.now().plus(PERMIT_VALIDITY)),
            Permission::Denied(wait) => {
                waits.push(wait);
                excluded.push(endpoint.id.clone());
                continue;
            }
        };
        if !gw.takes_work(&endpoint) {
            excluded.push(endpoint.id.clone());
            continue;
        }
        return Ok(Some(PermittedEndpoint { endpoint, permit_until }));
    }
    let all = gw.endpoints(&req.service);
    excluded.extend(all.iter().filter(|e| gw.is_limited(e)).map(|e| e.id.clone()));
    match choose(&excluded) {
        Some(endpoint) => Ok(Some(PermittedEndpoint { endpoint, permit_until: None })),
        None => waits.into_iter().min().map_or(Ok(None), Err),
    }
}

/// Builds the refusal of a request that was not run because all endpoints are at their limits. The clients that are
/// refused together return at different times.
pub(super) fn limit_refusal(req: &ClientRequest, wait: Duration) -> Refusal {
    let after = wait.mul_f64(1.0 + Draw::new(rand::random()).fraction());
    let detail = format!(
        "the endpoints of service {} take no more requests for {} ms",
        req.service,
        wait.as_millis()
    );
    Refusal::not_run(RefusalReason::Limit, detail)
        .with_retry_after(Millis::new(after.as_millis() as u64))
}
