use bytes::Bytes;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::RelayHead;
use masticstair_net::http::server::{Response, ResponseContent};
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::request_crashes::RequestStanding;
use masticstair_policy::service_choice::{Candidate, pick_endpoint};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::attempt::attempt;
use super::attempt_failure::AttemptFailure;
use super::attempt_options::AttemptOptions;
use super::check_endpoint_end::{check_endpoint_end, spawn_check};
use super::check_request::{crash_refusal, record_request_answer, request_standing};
use super::client_request::ClientRequest;
use super::failed_call::FailedCall;
use super::in_flight_call::InFlightCall;
use super::pause_refusal::pause_refusal;
use super::permitted_endpoint::{choose_permitted, limit_refusal};
use super::refuse::refuse;
use super::tried_endpoints::TriedEndpoints;
use super::waiting_call::WaitingCall;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::telemetry::RequestTimeline;

const MAX_ANSWER_BYTES: usize = 16 << 20;

/// How long a retryable request waits for an answer before it is sent to another endpoint, as a multiple of
/// the endpoint's usual latency.
const TIMEOUT_LATENCY_FACTOR: f64 = 5.0;

/// Lower bound of the same timeout, as a fraction of the objective; applies to fast services.
const TIMEOUT_OBJECTIVE_FRACTION: f64 = 0.7;

/// Latency assumed for an endpoint that this host has not called yet.
const DEFAULT_LATENCY: Duration = Duration::from_millis(30);

const FULL_RETRY_AFTER: Millis = Millis::new(300);

/// With less time left the request is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Answers a request with the complete answer of an endpoint.
pub(super) async fn answer_plain(
    gw: &Rc<Gateway>,
    req: ClientRequest,
    mut timeline: RequestTimeline,
) -> Response {
    match call_service(gw, &req, &mut timeline).await {
        Ok((head, body)) => {
            timeline.finish(gw, "answered", head.status.as_str());
            Response {
                status: head.status,
                headers: (gw.front_end.answer_headers)(&head.headers),
                body: ResponseContent::Full(body),
            }
        }
        Err(refusal) => refuse(gw, &timeline, &refusal),
    }
}

async fn call_service(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    timeline: &mut RequestTimeline,
) -> Result<(RelayHead, Bytes), Refusal> {
    gw.record_requests(&req.service, 1);
    let max_runs = req.route.max_runs();
    let mut tried = TriedEndpoints::default();
    let mut runs = 0;
    let mut last: Option<AttemptFailure> = None;
    let mut failed: Option<(RelayHead, Bytes)> = None;
    loop {
        let standing = request_standing(gw, req);
        if let (RequestStanding::Rejected { verdict, left }, 0) = (&standing, runs) {
            return Err(crash_refusal(verdict, *left));
        }
        // A request that may crash endpoints is not sent to another one.
        let may_run_again = runs == 0 || standing == RequestStanding::Clear;
        let permitted =
            choose_permitted(gw, req, tried.ids(), |excluded| pick_endpoint_for(gw, req, excluded));
        let choice = match permitted.await {
            Ok(choice) => choice,
            Err(wait) if runs == 0 => return Err(limit_refusal(req, wait)),
            Err(_) => None,
        };
        let left = req.deadline.since(gw.now());
        let choice = choice.filter(|_| left > MIN_TIME_LEFT);
        let may_try = tried.is_empty()
            || (may_run_again
                && runs < max_runs
                && tried.may_try_another()
                && (tried.is_unsent() || gw.take_retry(&req.service)));
        let (Some(permitted), true) = (choice, may_try) else {
            return failed.map_or_else(|| Err(final_refusal(gw, req, runs, last)), Ok);
        };
        let endpoint = permitted.endpoint;
        tried.add(&endpoint.id);
        timeline.record_news_age(gw);
        let is_last_run = runs + 1 >= max_runs;
        let timeout = if is_last_run { left } else { attempt_timeout(gw, req, &endpoint) };
        let started = gw.now();
        let waiting = WaitingCall::new(gw, req, &endpoint, started);
        let result = run_attempt(gw, req, &endpoint, timeout).await;
        waiting.finish();
        let took = gw.now().since(started);
        let label = result.as_ref().map_or_else(AttemptFailure::name, |_| "answered");
        gw.metrics.count_call(&req.service, label, took);
        match result {
            Ok((head, body)) => {
                record_request_answer(gw, req, started);
                let is_failure = head.status.is_server_error();
                gw.with_health(&endpoint.id, |health| health.record_answer(took, is_failure));
                timeline.record_attempt(&endpoint.id, head.status.as_str(), took);
                timeline.first_answer_at = Some(gw.now());
                if !is_failure || is_last_run {
                    return Ok((head, body));
                }
                runs += 1;
                failed = Some((head, body));
            }
            Err(failure) => {
                timeline.record_attempt(&endpoint.id, failure.name(), took);
                tried.record_failure(&failure);
                if failure.may_have_run() {
                    runs += 1;
                    let is_silent = failure.is_silent();
                    let call = FailedCall::unanswered(req, &endpoint, started, is_silent);
                    match is_silent && is_last_run {
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

/// Sends the request to one endpoint and reads the complete answer.
async fn run_attempt(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    endpoint: &Arc<ServingEndpoint>,
    timeout: Duration,
) -> Result<(RelayHead, Bytes), AttemptFailure> {
    let _call = InFlightCall::new(gw, &endpoint.id, TokenCount::default());
    let options = AttemptOptions { priority: None, inputs: None, resume_after: None, timeout };
    let (head, body) = attempt(gw, req, endpoint, &options).await?;
    let left = req.deadline.since(gw.now());
    let read = body.read_all(MAX_ANSWER_BYTES, &gw.answer_room);
    let failure = match monoio::time::timeout(left, read).await {
        Ok(Ok((body, connection))) => {
            connection.keep();
            return Ok((head, body));
        }
        Ok(Err(e)) => AttemptFailure::Unknown(e.to_string().into()),
        Err(_) => AttemptFailure::TimedOut("the answer did not end in time".into()),
    };
    gw.with_health(&endpoint.id, |health| health.record_unanswered(gw.now()));
    Err(failure)
}

fn pick_endpoint_for(
    gw: &Gateway,
    req: &ClientRequest,
    excluded: &[EndpointId],
) -> Option<Arc<ServingEndpoint>> {
    let ready = gw.endpoints(&req.service);
    let now = gw.now();
    let eligible: Vec<_> = ready.iter().filter(|e| !excluded.contains(&e.id)).collect();
    let candidates: Vec<_> = eligible
        .iter()
        .map(|e| {
            gw.with_health(&e.id, |health| Candidate {
                in_flight: health.in_flight,
                capacity: e.capacity.get(),
                latency: health.latency().unwrap_or(DEFAULT_LATENCY),
                failure_rate: health.failure_rate(),
                is_local: e.data_centre == gw.data_centre,
                is_in_backoff: health.is_in_backoff(now),
            })
        })
        .collect();
    let position = pick_endpoint(&candidates, || Draw::new(rand::random()))?;
    eligible.get(position).map(|e| (*e).clone())
}

fn attempt_timeout(gw: &Gateway, req: &ClientRequest, endpoint: &ServingEndpoint) -> Duration {
    let usual = gw.with_health(&endpoint.id, |health| health.latency());
    let usual = usual.unwrap_or(DEFAULT_LATENCY).mul_f64(TIMEOUT_LATENCY_FACTOR);
    usual.max(req.route.objective.duration().mul_f64(TIMEOUT_OBJECTIVE_FRACTION))
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
        None => {
            let detail = format!("service {} has no endpoint that takes work", req.service);
            Refusal::not_run(RefusalReason::NoEndpoint, detail).with_retry_after(FULL_RETRY_AFTER)
        }
        Some(failure) if runs == 0 => Refusal::not_run(RefusalReason::Full, failure.detail())
            .with_retry_after(FULL_RETRY_AFTER),
        Some(failure) => {
            let timed_out =
                gw.now() >= req.deadline || matches!(failure, AttemptFailure::TimedOut(_));
            let reason = if timed_out { RefusalReason::Deadline } else { RefusalReason::Broken };
            Refusal::unknown(reason, failure.detail())
        }
    }
}
