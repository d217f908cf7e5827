use http::HeaderMap;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Response, ResponseContent};
use std::rc::Rc;
use std::time::Duration;

use super::check_request::record_request_answer;
use super::choose_engine::permit_engine;
use super::client_request::ClientRequest;
use super::held_results::HeldResults;
use super::in_flight::InFlight;
use super::open_stream::open_stream;
use super::opened_stream::OpenedStream;
use super::permitted_endpoint::{limit_refusal, plan_engine};
use super::refuse::refuse;
use super::stage_plan::{admit_stages, run_stages};
use super::stream_state::{StreamState, stream_events};
use super::take_up::bind_to_writer;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};
use crate::telemetry::RequestTimeline;

/// Limit for answers other than event streams.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Answers a request with the event stream of an engine.
pub(super) async fn answer_stream(
    gw: Rc<Gateway>,
    mut req: ClientRequest,
    mut timeline: RequestTimeline,
    in_flight: InFlight,
) -> Response {
    if let Err(refusal) = bind_to_writer(&gw, &mut req).await {
        return refuse(&gw, &timeline, &refusal);
    }
    timeline.service = Some(req.service.clone());
    if let Err(refusal) = admit_stages(&gw, &req) {
        return refuse(&gw, &timeline, &refusal);
    }
    let mut held = HeldResults::new(&gw);
    let mut planned_engine = match plan_engine(&gw, &req).await {
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
        let read = body.read_all(MAX_ANSWER_BYTES, &gw.answer_room);
        let read = monoio::time::timeout(left, read).await;
        if status.is_server_error() {
            gw.with_health(&endpoint.id, |health| health.record_answer(Duration::ZERO, true));
        }
        return match read {
            Ok(Ok((body, connection))) => {
                connection.keep();
                record_request_answer(&gw, &req, sent_at);
                timeline.finish(&gw, "answered", status.as_str());
                Response { status, headers, body: ResponseContent::Counted(body) }
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
