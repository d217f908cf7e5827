use masticstair_core::prelude::*;
use masticstair_policy::engine_choice::first_event_timeout;
use masticstair_policy::poison::Standing;
use masticstair_policy::request_crashes::RequestStanding;
use std::rc::Rc;
use std::time::Duration;

use super::attempt::attempt;
use super::attempt_failure::AttemptFailure;
use super::attempt_options::AttemptOptions;
use super::check_endpoint_end::{check_endpoint_end, spawn_check};
use super::check_prompt::{poison_refusal, prompt_standing};
use super::check_request::{crash_refusal, request_standing};
use super::choose_engine::permit_engine;
use super::client_request::ClientRequest;
use super::engine_load::{engine_estimate, engine_load, split_prompt};
use super::failed_call::FailedCall;
use super::in_flight_call::InFlightCall;
use super::opened_stream::OpenedStream;
use super::pause_refusal::pause_refusal;
use super::permitted_endpoint::{PermittedEndpoint, limit_refusal};
use super::tried_endpoints::TriedEndpoints;
use super::waiting_call::WaitingCall;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::telemetry::RequestTimeline;

const FULL_RETRY_AFTER: Millis = Millis::new(500);

/// With less time left the request is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

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
        let left = req.next_event_by().since(gw.now());
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
        let estimate = engine_estimate(gw, req);
        let load = engine_load(gw, req, &endpoint, inputs);
        let relative_latency = gw.with_health(&endpoint.id, |health| health.relative_latency());
        let uncached = load.uncached();
        let expected = estimate.first_event(&uncached).mul_f64(relative_latency.max(1.0));
        let timeout = match *runs + 1 < max_runs {
            true => first_event_timeout(expected, req.route.objective.duration()).min(left),
            false => left,
        };
        let sent_at = gw.now();
        let in_flight_call = InFlightCall::new(gw, &endpoint.id, split_prompt(req).total());
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
                    load,
                    last_output: gw.now(),
                    first_event_by: sent_at.plus(timeout),
                    has_events: false,
                    awaited_since: None,
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
