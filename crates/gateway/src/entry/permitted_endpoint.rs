use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

use super::choose_engine::{choose_engine, permit_engine};
use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::permission::Permission;
use crate::request_permit::request_permit;

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
    let (mut excluded, mut waits) = without_permits(gw, req, tried);
    for _ in 0..MAX_ASKED {
        let Some(endpoint) = choose(&excluded) else { break };
        let permit_until = match request_permit(gw, &endpoint).await {
            Permission::Unlimited => None,
            Permission::Granted(until) => Some(until),
            Permission::Denied(wait) => {
                waits.push(wait);
                excluded.push(endpoint.id.clone());
                if gw.cold_budget(&endpoint).is_some() {
                    exclude_cold(gw, req, &mut excluded);
                }
                continue;
            }
        };
        if !gw.takes_work(&endpoint) {
            excluded.push(endpoint.id.clone());
            continue;
        }
        return Ok(Some(PermittedEndpoint { endpoint, permit_until }));
    }
    let needs_permit = |e: &&Arc<ServingEndpoint>| gw.is_limited(e) || gw.cold_budget(e).is_some();
    let all = gw.endpoints(&req.service);
    excluded.extend(all.iter().filter(needs_permit).map(|e| e.id.clone()));
    match choose(&excluded) {
        Some(endpoint) => Ok(Some(PermittedEndpoint { endpoint, permit_until: None })),
        None => waits.into_iter().min().map_or(Ok(None), Err),
    }
}

/// Chooses the engine that a request with stages is expected to use afterwards. A permit for a cold one would run out
/// during the stages, so it is asked for only then. See `choose_permitted` for the error.
pub(super) async fn plan_engine(
    gw: &Gateway,
    req: &ClientRequest,
) -> Result<Option<PermittedEndpoint>, Duration> {
    if !req.route.stages.is_empty() && gw.has_cold(&req.service) {
        let (excluded, _) = without_permits(gw, req, &[]);
        let engine = choose_engine(gw, req, &excluded, None);
        if let Some(endpoint) = engine.filter(|e| gw.cold_budget(e).is_some()) {
            return Ok(Some(PermittedEndpoint { endpoint, permit_until: Some(gw.now()) }));
        }
    }
    permit_engine(gw, req, &[], None).await
}

/// Returns the endpoints that get nothing for want of a permit, after those in `tried`, and for how long each of them.
fn without_permits(
    gw: &Gateway,
    req: &ClientRequest,
    tried: &[EndpointId],
) -> (Vec<EndpointId>, SmallVec<[Duration; 8]>) {
    let mut excluded = tried.to_vec();
    let mut waits = SmallVec::new();
    for endpoint in gw.endpoints(&req.service).iter() {
        let wait = gw.permit_wait(endpoint);
        if !wait.is_zero() && !tried.contains(&endpoint.id) && req.may_use(endpoint) {
            waits.push(wait);
            excluded.push(endpoint.id.clone());
        }
    }
    (excluded, waits)
}

/// Excludes the cold endpoints if there are others. One denied permit is the only round trip that a request spends on them
/// then.
fn exclude_cold(gw: &Gateway, req: &ClientRequest, excluded: &mut Vec<EndpointId>) {
    let endpoints = gw.endpoints(&req.service);
    let (cold, warm): (Vec<_>, Vec<_>) =
        endpoints.iter().partition(|e| gw.cold_budget(e).is_some());
    if warm.iter().any(|e| !excluded.contains(&e.id) && req.may_use(e)) {
        excluded.extend(cold.into_iter().map(|e| e.id.clone()));
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
