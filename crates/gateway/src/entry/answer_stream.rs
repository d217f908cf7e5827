use http::HeaderMap;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Response, ResponseContent};
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::engine_choice::{EngineCandidate, pick_engine, rendezvous_weight};
use masticstair_policy::poison::Standing;
use masticstair_policy::request_crashes::RequestStanding;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::answer_request::refuse;
use super::attempt::attempt;
use super::attempt_failure::AttemptFailure;
use super::attempt_options::AttemptOptions;
use super::check_endpoint_end::{check_endpoint_end, spawn_check};
use super::check_prompt::{poison_refusal, prompt_standing};
use super::check_request::{crash_refusal, record_request_answer, request_standing};
use super::client_request::ClientRequest;
use super::failed_call::FailedCall;
use super::held_results::HeldResults;
use super::in_flight::InFlight;
use super::in_flight_call::InFlightCall;
use super::opened_stream::OpenedStream;
use super::pause_refusal::pause_refusal;
use super::permitted_endpoint::{PermittedEndpoint, choose_permitted, limit_refusal};
use super::stage_plan::{admit_stages, run_stages};
use super::stream_state::{StreamState, stream_events};
use super::tried_endpoints::TriedEndpoints;
use super::waiting_call::WaitingCall;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::telemetry::RequestTimeline;

/// Time to the first event of an idle engine, without the time to read the prompt.
const IDLE_FIRST_EVENT_TIME: Duration = Duration::from_millis(90);

/// Prompt tokens that a typical engine reads per millisecond; the reference for relative latency.
const PREFILL_TOKENS_PER_MS: f64 = 30.0;

const FULL_RETRY_AFTER: Millis = Millis::new(500);

/// Wait limit for the first event of the engine that holds the prompt in its cache, as a fraction of the
/// objective.
const CACHE_HOLDER_OBJECTIVE_FRACTION: f64 = 0.45;

/// Timeout for the first event of a request that can still be sent to another engine, as a fraction of the
/// objective.
const FIRST_EVENT_OBJECTIVE_FRACTION: f64 = 0.8;

/// Limit for answers other than event streams.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// With less time left the request is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Answers a request with the event stream of an engine.
pub(super) async fn answer_stream(
    gw: Rc<Gateway>,
    req: ClientRequest,
    mut timeline: RequestTimeline,
    in_flight: InFlight,
) -> Response {
    if let Err(refusal) = admit_stages(&gw, &req) {
        return refuse(&gw, &timeline, &refusal);
    }
    let mut held = HeldResults::new(&gw);
    let mut planned_engine = match permit_engine(&gw, &req, &[], None).await {
        Ok(engine) => engine,
        Err(wait) => return refuse(&gw, &timeline, &limit_refusal(&req, wait)),
    };
    let results = match &planned_engine {
        Some(engine) if !req.route.stages.is_empty() => {
            let near = engine.endpoint.data_centre.clone();
            match run_stages(&gw, &req, Some(&near), &mut held).await {
                Ok(results) => Some(results),
                Err(refusal) => return refuse(&gw, &timeline, &refusal),
            }
        }
        _ => None,
    };
    if let Some(results) = &results {
        timeline.staged_at = Some(gw.now());
        if !planned_engine.as_ref().is_some_and(|engine| engine.holds_permit(gw.now())) {
            planned_engine = match permit_engine(&gw, &req, &[], results.near.as_ref()).await {
                Ok(engine) => engine,
                Err(wait) => return refuse(&gw, &timeline, &limit_refusal(&req, wait)),
            };
        }
    }
    let inputs = results.map(|results| results.handles);
    gw.record_requests(&req.service, 1);
    let resume = req.meta.resume_after;
    match open_stream(&gw, &req, &mut timeline, planned_engine, inputs.as_deref(), resume, &mut 0)
        .await
    {
        Ok(opened) => forward_answer(gw, req, timeline, in_flight, held, inputs, opened).await,
        Err(refusal) => refuse(&gw, &timeline, &refusal),
    }
}

/// Forwards an answer: as a stream of events if it succeeded, otherwise as a whole.
async fn forward_answer(
    gw: Rc<Gateway>,
    req: ClientRequest,
    timeline: RequestTimeline,
    in_flight: InFlight,
    held: HeldResults,
    inputs: Option<Vec<ResultHandle>>,
    opened: OpenedStream,
) -> Response {
    let headers: HeaderMap = (gw.front_end.answer_headers)(&opened.head.headers);
    let status = opened.head.status;
    if !status.is_success() {
        let OpenedStream { body, endpoint, sent_at, .. } = opened;
        let left = req.deadline.since(gw.now());
        let read = monoio::time::timeout(left, body.read_all(MAX_ANSWER_BYTES)).await;
        if status.is_server_error() {
            gw.with_health(&endpoint.id, |health| health.record_answer(Duration::ZERO, true));
        }
        return match read {
            Ok(Ok(body)) => {
                record_request_answer(&gw, &req, sent_at);
                timeline.finish(&gw, "answered", status.as_str());
                Response { status, headers, body: ResponseContent::Full(body) }
            }
            _ => {
                let refusal = Refusal::unknown(RefusalReason::Broken, "the answer broke off");
                refuse(&gw, &timeline, &refusal)
            }
        };
    }
    let state = StreamState::new(gw, req, timeline, in_flight, held, inputs, opened);
    Response { status, headers, body: ResponseContent::Events(stream_events(state)) }
}

/// Sends the request to engines in turn until one begins to answer.
pub(super) async fn open_stream(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    timeline: &mut RequestTimeline,
    mut planned_engine: Option<PermittedEndpoint>,
    inputs: Option<&[ResultHandle]>,
    resume_after: Option<u64>,
    runs: &mut u32,
) -> Result<OpenedStream, Refusal> {
    let max_runs = req.route.max_runs();
    let mut tried = TriedEndpoints::default();
    let mut last: Option<AttemptFailure> = None;
    loop {
        let standing = prompt_standing(gw, req);
        if let (Standing::Rejected { verdict, left }, 0) = (&standing, *runs) {
            return Err(poison_refusal(verdict, *left));
        }
        let known = request_standing(gw, req);
        if let (RequestStanding::Rejected { verdict, left }, 0) = (&known, *runs) {
            return Err(crash_refusal(verdict, *left));
        }
        let may_send = |e: &PermittedEndpoint| e.may_send(gw.now()) && gw.takes_work(&e.endpoint);
        let choice = match planned_engine.take().filter(may_send) {
            Some(engine) => Some(engine),
            None => match permit_engine(gw, req, tried.ids(), None).await {
                Ok(engine) => engine,
                Err(wait) if *runs == 0 => return Err(limit_refusal(req, wait)),
                Err(_) => None,
            },
        };
        let left = req.first_event_by().since(gw.now());
        let is_first = tried.is_empty() && *runs == 0;
        // A run that may have crashed an engine is not followed by another one.
        let may_run_again =
            *runs == 0 || (standing == Standing::Clear && known == RequestStanding::Clear);
        let may_try = is_first
            || (may_run_again
                && *runs < max_runs
                && tried.may_try_another()
                && (*runs == 0 && tried.is_unsent() || gw.take_retry(&req.service)));
        let (Some(engine), true) = (choice.filter(|_| left > MIN_TIME_LEFT), may_try) else {
            return Err(final_refusal(gw, req, *runs, last));
        };
        let endpoint = engine.endpoint;
        tried.add(&endpoint.id);
        timeline.record_news_age(gw);
        let timeout = match *runs + 1 < max_runs {
            true => {
                req.route.objective.duration().mul_f64(FIRST_EVENT_OBJECTIVE_FRACTION).min(left)
            }
            false => left,
        };
        let sent_at = gw.now();
        let in_flight_call = InFlightCall::new(gw, &endpoint.id, prompt_tokens(req));
        let priority = Some(req.priority.min(9));
        let options = AttemptOptions { priority, inputs, resume_after, timeout };
        let waiting = WaitingCall::new(gw, req, &endpoint, sent_at);
        let answer = attempt(gw, req, &endpoint, &options).await;
        waiting.finish();
        let took = gw.now().since(sent_at);
        let label = answer.as_ref().map_or_else(AttemptFailure::name, |_| "answered");
        gw.metrics.count_call(&req.service, label, took);
        timeline.record_attempt(&endpoint.id, label, took);
        match answer {
            Ok((head, body)) => {
                *runs += 1;
                return Ok(OpenedStream {
                    endpoint,
                    head,
                    body,
                    in_flight_call,
                    sent_at,
                    last_output: gw.now(),
                    has_events: false,
                });
            }
            Err(AttemptFailure::NotRun(meta, _)) if meta.inputs_gone => {
                let detail = "results of the stages are gone";
                return Err(Refusal::not_run(RefusalReason::Stages, detail)
                    .with_retry_after(Millis::new(100)));
            }
            Err(failure) => {
                tried.record_failure(&failure);
                if failure.may_have_run() {
                    *runs += 1;
                    let is_silent = failure.is_silent();
                    let call = FailedCall::unanswered(req, &endpoint, sent_at, is_silent);
                    match is_silent && *runs >= max_runs {
                        // The time of the request has passed.
                        true => spawn_check(gw, call),
                        false => check_endpoint_end(gw, call).await,
                    }
                }
                last = Some(failure);
            }
        }
    }
}

fn prompt_tokens(req: &ClientRequest) -> u64 {
    req.meta.prompt.as_ref().map_or(0, |prompt| prompt.input.get())
}

/// Chooses the engine for a request, among those that take one now. See `choose_permitted` for the error.
async fn permit_engine(
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
    let eligible: Vec<_> = ready.iter().filter(|e| !excluded.contains(&e.id)).collect();
    let prompt = req.meta.prompt.as_ref();
    let session = prompt.and_then(|prompt| prompt.session());
    let key = session.map(|part| part.get().to_le_bytes()).unwrap_or_default();
    let now = gw.now();
    let candidates: Vec<_> = eligible
        .iter()
        .map(|e| {
            gw.with_health(&e.id, |health| EngineCandidate {
                affinity: rendezvous_weight(&key, e.id.as_str().as_bytes()),
                relative_latency: health.latency().map_or(1.0, relative_latency),
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
    let unshared = TokenCount::new(total.get().saturating_sub(shared.get()));
    let hosts = gw.entry_host_count();
    let wait_limit = req.route.objective.duration().mul_f64(CACHE_HOLDER_OBJECTIVE_FRACTION);
    let draw = || Draw::new(rand::random());
    let position = pick_engine(&candidates, shared, unshared, hosts, wait_limit, draw)?;
    eligible.get(position).map(|e| (*e).clone())
}

/// Returns the latency of an engine relative to a typical idle engine. Latencies of engines are recorded as
/// `normalized_first_event`.
fn relative_latency(latency: Duration) -> f64 {
    (latency.as_secs_f64() / IDLE_FIRST_EVENT_TIME.as_secs_f64()).clamp(0.3, 8.0)
}

/// Scales a measured time to the first event to that of a short prompt, so that prompts of different lengths
/// compare.
pub(super) fn normalized_first_event(req: &ClientRequest, took: Duration) -> Duration {
    let prompt = req.meta.prompt.as_ref();
    let unshared = prompt.map_or(0, |p| p.input.get().saturating_sub(p.shared().get()));
    let expected =
        IDLE_FIRST_EVENT_TIME.as_secs_f64() + unshared as f64 / PREFILL_TOKENS_PER_MS / 1e3;
    IDLE_FIRST_EVENT_TIME.mul_f64(took.as_secs_f64() / expected)
}

fn final_refusal(
    gw: &Gateway,
    req: &ClientRequest,
    runs: u32,
    last: Option<AttemptFailure>,
) -> Refusal {
    match last {
        last if runs == 0 && gw.service_pause(&req.service).is_some() => {
            pause_refusal(gw, req, last.as_ref())
        }
        None if runs == 0 => {
            let detail = format!("service {} has no engine that takes work", req.service);
            Refusal::not_run(RefusalReason::NoEndpoint, detail).with_retry_after(FULL_RETRY_AFTER)
        }
        Some(failure) if runs == 0 => Refusal::not_run(RefusalReason::Full, failure.detail())
            .with_retry_after(FULL_RETRY_AFTER),
        failure => {
            let timed_out = gw.now() >= req.deadline;
            let reason = if timed_out { RefusalReason::Deadline } else { RefusalReason::Broken };
            let detail = failure.as_ref().map_or("the time passed", |failure| failure.detail());
            Refusal::unknown(reason, detail)
        }
    }
}
