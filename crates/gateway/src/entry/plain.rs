use bytes::Bytes;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::RelayHead;
use masticstair_net::http::server::{Response, ResponseContent};
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::service_choice::{Candidate, pick_endpoint};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::answer::refuse;
use super::attempt::{AttemptEnd, AttemptTerms, Working, attempt};
use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::telemetry::Story;

/// The largest answer that is passed on, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// How long a repeatable request waits for an answer before it goes to another endpoint, in multiples of the
/// usual latency.
const PATIENCE_FACTOR: f64 = 5.0;

/// The same as a part of the objective, where the service is fast.
const OBJECTIVE_PART: f64 = 0.7;

/// The latency of an endpoint that this host has not called yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(30);

/// Endpoints that are asked in turn when each one states that it has not run the request.
const MAX_OFFERS: usize = 4;

/// When to ask again after all endpoints were full.
const FULL_RETRY: Millis = Millis::new(300);

/// The time that is too short to send a request in.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// Answers a request with the whole answer of an endpoint.
pub(super) async fn answer_plain(
    gw: &Rc<Gateway>,
    req: ClientRequest,
    mut story: Story,
) -> Response {
    match call_service(gw, &req, &mut story).await {
        Ok((head, body)) => {
            story.end(gw, "answered", head.status.as_str());
            Response {
                status: head.status,
                headers: (gw.front_end.answer_headers)(&head.headers),
                body: ResponseContent::Full(body),
            }
        }
        Err(refusal) => refuse(gw, &story, &refusal),
    }
}

async fn call_service(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    story: &mut Story,
) -> Result<(RelayHead, Bytes), Refusal> {
    gw.note_requests(&req.service, 1);
    let max_runs = req.route.max_runs();
    let mut asked: Vec<EndpointId> = Vec::new();
    let mut runs = 0;
    let mut last: Option<AttemptEnd> = None;
    let mut failed: Option<(RelayHead, Bytes)> = None;
    loop {
        let left = req.deadline.since(gw.now());
        let choice = pick(gw, req, &asked).filter(|_| left > MIN_LEFT);
        let may_go_on = asked.is_empty()
            || (runs < max_runs && asked.len() < MAX_OFFERS && gw.take_repeat(&req.service));
        let (Some(endpoint), true) = (choice, may_go_on) else {
            return failed.map_or_else(|| Err(give_up(gw, req, runs, last)), Ok);
        };
        asked.push(endpoint.id.clone());
        let is_last_run = runs + 1 >= max_runs;
        let patience = if is_last_run { left } else { patience(gw, req, &endpoint) };
        let started = gw.now();
        let end = run(gw, req, &endpoint, patience).await;
        let took = gw.now().since(started);
        let name = end.as_ref().map_or_else(AttemptEnd::name, |_| "answered");
        gw.metrics.count_call(&req.service, name, took);
        match end {
            Ok((head, body)) => {
                let failure = head.status.is_server_error();
                gw.with_health(&endpoint.id, |health| health.record_answer(took, failure));
                story.note_attempt(&endpoint.id, head.status.as_str(), took);
                story.first = Some(gw.now());
                if !failure || is_last_run {
                    return Ok((head, body));
                }
                runs += 1;
                failed = Some((head, body));
            }
            Err(end) => {
                story.note_attempt(&endpoint.id, end.name(), took);
                if matches!(end, AttemptEnd::Unknown(_) | AttemptEnd::Silent(_)) {
                    runs += 1;
                }
                last = Some(end);
            }
        }
    }
}

/// Sends the request to one endpoint and reads the whole answer.
async fn run(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    endpoint: &Arc<ServingEndpoint>,
    patience: Duration,
) -> Result<(RelayHead, Bytes), AttemptEnd> {
    let _working = Working::new(gw, &endpoint.id, 0);
    let terms = AttemptTerms { priority: None, inputs: None, resume_after: None, patience };
    let (head, body) = attempt(gw, req, endpoint, &terms).await?;
    let left = req.deadline.since(gw.now());
    let end = match monoio::time::timeout(left, body.read_all(ANSWER_LIMIT)).await {
        Ok(Ok(body)) => return Ok((head, body)),
        Ok(Err(e)) => AttemptEnd::Unknown(e.to_string().into()),
        Err(_) => AttemptEnd::Silent("the answer did not end in time".into()),
    };
    gw.with_health(&endpoint.id, |health| health.record_unanswered(gw.now()));
    Err(end)
}

fn pick(gw: &Gateway, req: &ClientRequest, asked: &[EndpointId]) -> Option<Arc<ServingEndpoint>> {
    let ready = gw.endpoints(&req.service);
    let now = gw.now();
    let others: Vec<_> = ready.iter().filter(|e| !asked.contains(&e.id)).collect();
    let candidates: Vec<_> = others
        .iter()
        .map(|e| {
            gw.with_health(&e.id, |health| Candidate {
                in_flight: health.in_flight,
                capacity: e.capacity.get(),
                latency: health.latency().unwrap_or(UNKNOWN_LATENCY),
                failure_rate: health.failure_rate(),
                is_local: e.data_centre == gw.data_centre,
                is_in_backoff: health.is_in_backoff(now),
            })
        })
        .collect();
    let position = pick_endpoint(&candidates, || Draw::new(rand::random()))?;
    others.get(position).map(|e| (*e).clone())
}

fn patience(gw: &Gateway, req: &ClientRequest, endpoint: &ServingEndpoint) -> Duration {
    let usual = gw.with_health(&endpoint.id, |health| health.latency());
    let usual = usual.unwrap_or(UNKNOWN_LATENCY).mul_f64(PATIENCE_FACTOR);
    usual.max(req.route.objective.duration().mul_f64(OBJECTIVE_PART))
}

fn give_up(gw: &Gateway, req: &ClientRequest, runs: u32, last: Option<AttemptEnd>) -> Refusal {
    match last {
        None => {
            let detail = format!("service {} has no endpoint that takes work", req.service);
            Refusal::not_run(RefusalReason::NoEndpoint, detail).with_retry_after(FULL_RETRY)
        }
        Some(end) if runs == 0 => {
            Refusal::not_run(RefusalReason::Full, end.detail()).with_retry_after(FULL_RETRY)
        }
        Some(end) => {
            let timed_out = gw.now() >= req.deadline || matches!(end, AttemptEnd::Silent(_));
            let reason = if timed_out { RefusalReason::Deadline } else { RefusalReason::Broken };
            Refusal::unknown(reason, end.detail())
        }
    }
}
