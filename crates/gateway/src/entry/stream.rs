use http::HeaderMap;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::{RelayBody, RelayHead};
use masticstair_net::http::server::{Response, ResponseContent};
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::engine_choice::{EngineCandidate, pick_engine, rendezvous_weight};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::answer::refuse;
use super::attempt::{AttemptEnd, AttemptTerms, Working, attempt};
use super::client_request::ClientRequest;
use super::held_results::HeldResults;
use super::in_flight::InFlight;
use super::stage_plan::{admit_stages, run_stages};
use super::stream_body::{StreamState, stream_events};
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::telemetry::Story;

/// The time to the first event that an engine at rest needs, beside reading the prompt.
const FIRST_EVENT: Duration = Duration::from_millis(90);

/// Prompt tokens that a usual engine reads in a millisecond; for the pace of engines.
const TOKENS_PER_MS: f64 = 30.0;

/// Engines that are asked in turn when each one states that it has not run the request.
const MAX_OFFERS: usize = 4;

/// When to ask again after all engines were full.
const FULL_RETRY: Millis = Millis::new(500);

/// The part of the objective within which the first event of the engine that keeps a prompt is awaited.
const KEEPER_PART: f64 = 0.45;

/// How long the first event of a request that can go to another engine may take, in multiples of the
/// objective.
const FIRST_EVENT_PART: f64 = 0.8;

/// The largest answer other than a stream that is passed on, in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// The time that is too short to send a request in.
const MIN_LEFT: Duration = Duration::from_millis(20);

/// A stream that an engine has begun.
pub(super) struct Opened {
    pub(super) endpoint: Arc<ServingEndpoint>,
    pub(super) head: RelayHead,
    pub(super) body: RelayBody,
    pub(super) working: Working,
    pub(super) sent: Timestamp,
}

/// Answers a request with the events of an engine.
pub(super) async fn answer_stream(
    gw: Rc<Gateway>,
    req: ClientRequest,
    mut story: Story,
    in_flight: InFlight,
) -> Response {
    if let Err(refusal) = admit_stages(&gw, &req) {
        return refuse(&gw, &story, &refusal);
    }
    let mut held = HeldResults::new(&gw);
    let mut planned = choose(&gw, &req, &[], None);
    let results = match &planned {
        Some(engine) if !req.route.stages.is_empty() => {
            let near = engine.data_centre.clone();
            match run_stages(&gw, &req, Some(&near), &mut held).await {
                Ok(results) => Some(results),
                Err(refusal) => return refuse(&gw, &story, &refusal),
            }
        }
        _ => None,
    };
    if let Some(results) = &results {
        story.staged = Some(gw.now());
        planned = choose(&gw, &req, &[], results.near.as_ref());
    }
    let inputs = results.map(|results| results.handles);
    gw.note_requests(&req.service, 1);
    let resume = req.meta.resume_after;
    match open(&gw, &req, &mut story, planned, inputs.as_deref(), resume, &mut 0).await {
        Ok(opened) => pass_on(gw, req, story, in_flight, held, inputs, opened).await,
        Err(refusal) => refuse(&gw, &story, &refusal),
    }
}

/// Passes an answer on: event by event when it is a stream, otherwise as a whole.
async fn pass_on(
    gw: Rc<Gateway>,
    req: ClientRequest,
    story: Story,
    in_flight: InFlight,
    held: HeldResults,
    inputs: Option<Vec<ResultHandle>>,
    opened: Opened,
) -> Response {
    let headers: HeaderMap = (gw.front_end.answer_headers)(&opened.head.headers);
    let status = opened.head.status;
    if !status.is_success() {
        let Opened { body, endpoint, .. } = opened;
        let left = req.deadline.since(gw.now());
        let read = monoio::time::timeout(left, body.read_all(ANSWER_LIMIT)).await;
        if status.is_server_error() {
            gw.with_health(&endpoint.id, |health| health.record_answer(Duration::ZERO, true));
        }
        return match read {
            Ok(Ok(body)) => {
                story.end(&gw, "answered", status.as_str());
                Response { status, headers, body: ResponseContent::Full(body) }
            }
            _ => {
                let refusal = Refusal::unknown(RefusalReason::Broken, "the answer broke off");
                refuse(&gw, &story, &refusal)
            }
        };
    }
    let state = StreamState::new(gw, req, story, in_flight, held, inputs, opened);
    Response { status, headers, body: ResponseContent::Events(stream_events(state)) }
}

/// Finds an engine that begins to answer.
pub(super) async fn open(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    story: &mut Story,
    mut planned: Option<Arc<ServingEndpoint>>,
    inputs: Option<&[ResultHandle]>,
    resume_after: Option<u64>,
    runs: &mut u32,
) -> Result<Opened, Refusal> {
    let max_runs = req.route.max_runs();
    let mut asked: Vec<EndpointId> = Vec::new();
    let mut last: Option<AttemptEnd> = None;
    loop {
        let left = req.first_event_by().since(gw.now());
        let choice = planned.take().or_else(|| choose(gw, req, &asked, None));
        let is_first = asked.is_empty() && *runs == 0;
        let may_go_on = is_first
            || (*runs < max_runs && asked.len() < MAX_OFFERS && gw.take_repeat(&req.service));
        let (Some(endpoint), true) = (choice.filter(|_| left > MIN_LEFT), may_go_on) else {
            return Err(give_up(gw, req, *runs, last));
        };
        asked.push(endpoint.id.clone());
        let patience = match *runs + 1 < max_runs {
            true => req.route.objective.duration().mul_f64(FIRST_EVENT_PART).min(left),
            false => left,
        };
        let sent = gw.now();
        let working = Working::new(gw, &endpoint.id, unread(req));
        let priority = Some(req.priority.min(9));
        let terms = AttemptTerms { priority, inputs, resume_after, patience };
        let answer = attempt(gw, req, &endpoint, &terms).await;
        let took = gw.now().since(sent);
        let name = answer.as_ref().map_or_else(AttemptEnd::name, |_| "answered");
        gw.metrics.count_call(&req.service, name, took);
        story.note_attempt(&endpoint.id, name, took);
        match answer {
            Ok((head, body)) => {
                *runs += 1;
                return Ok(Opened { endpoint, head, body, working, sent });
            }
            Err(AttemptEnd::NotRun(meta, _)) if meta.inputs_gone => {
                let detail = "results of the stages are gone";
                return Err(Refusal::not_run(RefusalReason::Stages, detail)
                    .with_retry_after(Millis::new(100)));
            }
            Err(end) => {
                if matches!(end, AttemptEnd::Unknown(_) | AttemptEnd::Silent(_)) {
                    *runs += 1;
                }
                last = Some(end);
            }
        }
    }
}

fn unread(req: &ClientRequest) -> u64 {
    req.meta.prompt.as_ref().map_or(0, |prompt| prompt.input.get())
}

/// Chooses the engine of a request. `near` is where its inputs are.
fn choose(
    gw: &Gateway,
    req: &ClientRequest,
    asked: &[EndpointId],
    near: Option<&DataCentreId>,
) -> Option<Arc<ServingEndpoint>> {
    let ready = gw.endpoints(&req.service);
    let others: Vec<_> = ready.iter().filter(|e| !asked.contains(&e.id)).collect();
    let prompt = req.meta.prompt.as_ref();
    let session = prompt.and_then(|prompt| prompt.session());
    let key = session.map(|part| part.get().to_le_bytes()).unwrap_or_default();
    let now = gw.now();
    let views: Vec<_> = others
        .iter()
        .map(|e| {
            gw.with_health(&e.id, |health| EngineCandidate {
                affinity: rendezvous_weight(&key, e.id.as_str().as_bytes()),
                relative_latency: health.latency().map_or(1.0, pace),
                in_flight: health.in_flight,
                prompt_backlog: health.prompt_backlog,
                is_near: near.is_none_or(|near| *near == e.data_centre),
                is_in_backoff: health.is_in_backoff(now),
                failure_rate: health.failure_rate(),
                warmup: e.cold.duration(),
            })
        })
        .collect();
    let shared = prompt.map(|p| p.shared()).unwrap_or_default();
    let total = prompt.map(|p| p.input).unwrap_or_default();
    let own = TokenCount::new(total.get().saturating_sub(shared.get()));
    let hosts = gw.entry_host_count();
    let patience = req.route.objective.duration().mul_f64(KEEPER_PART);
    let draw = || Draw::new(rand::random());
    let position = pick_engine(&views, shared, own, hosts, patience, draw)?;
    others.get(position).map(|e| (*e).clone())
}

/// The latency that is noted for an engine is the time to the first event of a usual prompt.
fn pace(latency: Duration) -> f64 {
    (latency.as_secs_f64() / FIRST_EVENT.as_secs_f64()).clamp(0.3, 8.0)
}

/// Returns the time to the first event as if the prompt had been short.
pub(super) fn usual_first_event(req: &ClientRequest, took: Duration) -> Duration {
    let prompt = req.meta.prompt.as_ref();
    let own = prompt.map_or(0, |p| p.input.get().saturating_sub(p.shared().get()));
    let expected = FIRST_EVENT.as_secs_f64() + own as f64 / TOKENS_PER_MS / 1e3;
    FIRST_EVENT.mul_f64(took.as_secs_f64() / expected)
}

fn give_up(gw: &Gateway, req: &ClientRequest, runs: u32, last: Option<AttemptEnd>) -> Refusal {
    match last {
        None if runs == 0 => {
            let detail = format!("service {} has no engine that takes work", req.service);
            Refusal::not_run(RefusalReason::NoEndpoint, detail).with_retry_after(FULL_RETRY)
        }
        Some(end) if runs == 0 => {
            Refusal::not_run(RefusalReason::Full, end.detail()).with_retry_after(FULL_RETRY)
        }
        end => {
            let timed_out = gw.now() >= req.deadline;
            let reason = if timed_out { RefusalReason::Deadline } else { RefusalReason::Broken };
            let detail = end.as_ref().map_or("the time passed", |end| end.detail());
            Refusal::unknown(reason, detail)
        }
    }
}
