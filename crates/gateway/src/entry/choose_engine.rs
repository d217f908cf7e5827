use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::engine_choice::{EngineCandidate, pick_engine};
use std::sync::Arc;
use std::time::Duration;

use super::client_request::ClientRequest;
use super::engine_load::{affinity, engine_estimate, split_prompt};
use super::permitted_endpoint::{PermittedEndpoint, choose_permitted};
use crate::Gateway;

/// Wait limit for the first event of the engine that holds the prompt in its cache, as a fraction of the
/// objective.
const CACHE_HOLDER_OBJECTIVE_FRACTION: f64 = 0.45;

/// Chooses the engine for a request, among those that take one now. See `choose_permitted` for the error.
pub(super) async fn permit_engine(
    gw: &Gateway,
    req: &ClientRequest,
    tried: &[EndpointId],
    near: Option<&DataCentreId>,
) -> Result<Option<PermittedEndpoint>, Duration> {
    choose_permitted(gw, req, tried, |excluded| choose_engine(gw, req, excluded, near)).await
}

/// Chooses the engine for a request. `near` is the data centre of its inputs.
fn choose_engine(
    gw: &Gateway,
    req: &ClientRequest,
    excluded: &[EndpointId],
    near: Option<&DataCentreId>,
) -> Option<Arc<ServingEndpoint>> {
    let ready = gw.endpoints(&req.service);
    let eligible: Vec<_> =
        ready.iter().filter(|e| !excluded.contains(&e.id) && req.may_use(e)).collect();
    let now = gw.now();
    let candidates: Vec<_> = eligible
        .iter()
        .map(|e| {
            gw.with_health(&e.id, |health| EngineCandidate {
                affinity: affinity(req, &e.id),
                relative_latency: health.relative_latency(),
                in_flight: health.in_flight,
                prompt_backlog: health.prompt_backlog,
                is_near: near.is_none_or(|near| *near == e.data_centre),
                is_in_backoff: health.is_in_backoff(now),
                failure_rate: health.failure_rate(),
                warmup: e.cold.duration(),
            })
        })
        .collect();
    let (prompt, estimate) = (split_prompt(req), engine_estimate(gw, req));
    let hosts = gw.entry_host_count();
    let wait_limit = req.route.objective.duration().mul_f64(CACHE_HOLDER_OBJECTIVE_FRACTION);
    let draw = || Draw::new(rand::random());
    let position = pick_engine(&candidates, &prompt, &estimate, hosts, wait_limit, draw)?;
    eligible.get(position).map(|e| (*e).clone())
}
