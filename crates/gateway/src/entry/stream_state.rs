use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{LocalBoxStream, unfold};
use masticstair_core::prelude::*;
use masticstair_net::http::server::BodyAborted;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stream_versions::StreamWriter;
use std::rc::Rc;
use std::time::Duration;

use super::check_endpoint_end::{check_endpoint_end, spawn_check};
use super::check_prompt::record_prompt_answer;
use super::check_request::record_request_answer;
use super::choose_engine::normalized_first_event;
use super::client_request::ClientRequest;
use super::engine_output::EngineOutput;
use super::event_splitter::EventSplitter;
use super::failed_call::FailedCall;
use super::held_results::HeldResults;
use super::in_flight::InFlight;
use super::open_stream::open_stream;
use super::opened_stream::OpenedStream;
use super::stage_plan::run_stages;
use super::stream_copies::record_stream;
use super::take_up::has_endpoint;
use crate::Gateway;
use crate::endpoint_end::is_endpoint_silent;
use crate::telemetry::RequestTimeline;

/// How long an engine may stall before a stream that can be resumed moves to another engine, as a multiple of
/// the longest on-time gap.
const STALL_GAP_FACTOR: u32 = 3;

/// The longest on-time gap where the route defines none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// A stream that is being forwarded. Dropping it cancels the work of the engine.
pub(super) struct StreamState {
    gw: Rc<Gateway>,
    req: ClientRequest,
    timeline: RequestTimeline,
    inputs: Option<Vec<ResultHandle>>,
    held: HeldResults,
    opened: Option<OpenedStream>,
    splitter: EventSplitter,
    /// The id of the last event that was forwarded.
    last_event_id: Option<u64>,
    /// How often the request ran, or may have run, at an engine.
    runs: u32,
    /// The number of forwarded events.
    events: u64,
    finished: bool,
    _in_flight: InFlight,
}

impl StreamState {
    pub(super) fn new(
        gw: Rc<Gateway>,
        req: ClientRequest,
        timeline: RequestTimeline,
        in_flight: InFlight,
        held: HeldResults,
        inputs: Option<Vec<ResultHandle>>,
        opened: OpenedStream,
    ) -> Self {
        let last_event_id = req.meta.resume_after;
        let splitter = EventSplitter::new(&gw.answer_room);
        Self {
            gw,
            req,
            timeline,
            inputs,
            held,
            opened: Some(opened),
            splitter,
            last_event_id,
            runs: 1,
            events: 0,
            finished: false,
            _in_flight: in_flight,
        }
    }
}

impl StreamState {
    /// Checks an engine that has sent nothing for some time when the client leaves, as after a failed call.
    fn check_silent_engine(&self) {
        let Some(opened) = &self.opened else { return };
        if is_endpoint_silent(&self.gw, &opened.endpoint.id, opened.last_output) {
            spawn_check(&self.gw, FailedCall::unfinished(&self.req, opened, true));
        }
    }
}

impl Drop for StreamState {
    fn drop(&mut self) {
        if !self.finished {
            self.check_silent_engine();
            self.timeline.finish(&self.gw, "cancelled", "client disconnected");
        }
    }
}

/// Creates the body of the answer from the events of the engine.
pub(super) fn stream_events(
    state: StreamState,
) -> LocalBoxStream<'static, Result<Bytes, BodyAborted>> {
    unfold(Some(state), |state| async move {
        let mut state = state?;
        match next_events(&mut state).await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(state))),
            Ok(None) => None,
            Err(aborted) => Some((Err(aborted), None)),
        }
    })
    .boxed_local()
}

/// Returns the next events; none after the end of the stream.
async fn next_events(state: &mut StreamState) -> Result<Option<Bytes>, BodyAborted> {
    loop {
        if state.finished {
            return Ok(None);
        }
        match next_chunk(state).await {
            EngineOutput::Chunk(chunk) => {
                if !state.splitter.push(&chunk) {
                    return Err(abort(state, "no room for the event"));
                }
                let events = take_complete_events(state);
                if !events.is_empty() {
                    return Ok(Some(events));
                }
                if state.splitter.is_too_long() {
                    return Err(abort(state, "event exceeds the size limit"));
                }
            }
            EngineOutput::End if state.opened.as_ref().is_some_and(OpenedStream::may_be_cut) => {
                resume(state, "stream ended without an event", false).await?;
            }
            EngineOutput::End if state.splitter.remainder().is_empty() => {
                state.finished = true;
                if let Some(opened) = state.opened.take() {
                    record_request_answer(&state.gw, &state.req, opened.sent_at);
                }
                let detail = format!("{} events", state.events);
                state.timeline.finish(&state.gw, "answered", &detail);
                return Ok(None);
            }
            EngineOutput::End => {
                resume(state, "stream ended in the middle of an event", false).await?;
            }
            EngineOutput::Broken(reason) => resume(state, &reason, false).await?,
            EngineOutput::Silent(reason) => resume(state, &reason, true).await?,
        }
    }
}

async fn next_chunk(state: &mut StreamState) -> EngineOutput {
    let gap = state.req.route.max_event_gap.map_or(DEFAULT_GAP, Millis::duration);
    let left = state.req.deadline.since(state.gw.now());
    if left.is_zero() {
        // An engine that never pauses would not let the timeout below pass.
        return EngineOutput::Silent("the time passed".into());
    }
    let can_resume = can_resume(state);
    let limit =
        if can_resume && state.events > 0 { left.min(gap * STALL_GAP_FACTOR) } else { left };
    let Some(opened) = &mut state.opened else { return EngineOutput::Broken("no engine".into()) };
    match monoio::time::timeout(limit, opened.body.next()).await {
        Ok(Ok(Some(chunk))) => {
            opened.last_output = state.gw.now();
            EngineOutput::Chunk(chunk)
        }
        Ok(Ok(None)) => EngineOutput::End,
        Ok(Err(e)) => EngineOutput::Broken(e.to_string().into()),
        Err(_) => EngineOutput::Silent(format!("no event within {} ms", limit.as_millis()).into()),
    }
}

fn can_resume(state: &StreamState) -> bool {
    state.runs < state.req.route.max_runs()
}

/// Takes the complete events, except those that were forwarded before the stream was resumed.
fn take_complete_events(state: &mut StreamState) -> Bytes {
    let mut out = Vec::new();
    while let Some(event) = state.splitter.next_event() {
        if let (Some(id), Some(last)) = (event.id, state.last_event_id)
            && id <= last
        {
            continue;
        }
        state.last_event_id = event.id.or(state.last_event_id);
        state.events += 1;
        out.extend_from_slice(&event.bytes);
    }
    if !out.is_empty() {
        state.req.waits_since = state.gw.now();
        if let Some(opened) = &mut state.opened
            && !std::mem::replace(&mut opened.has_events, true)
        {
            record_prompt_answer(&state.gw, &state.req);
        }
        if state.timeline.first_answer_at.is_none() {
            record_first_event(state);
        }
    }
    out.into()
}

/// Records the first event; by then the engine has read the prompt and the inputs.
fn record_first_event(state: &mut StreamState) {
    let now = state.gw.now();
    state.timeline.first_answer_at = Some(now);
    if let Some(opened) = &state.opened {
        bind_stream(&state.gw, &mut state.req, &opened.endpoint);
        state.timeline.software = opened.endpoint.software.clone();
    }
    if let Some(opened) = &mut state.opened {
        opened.in_flight_call.record_prompt_read();
        let took = now.since(opened.sent_at);
        let normalized = normalized_first_event(&state.req, took);
        state.gw.with_health(&opened.endpoint.id, |health| health.record_answer(normalized, false));
        state.gw.stage_times.record(&state.req.service, took);
    }
    state.held.release_all();
}

/// Binds a new stream to the endpoint that wrote its first event.
fn bind_stream(gw: &Rc<Gateway>, req: &mut ClientRequest, endpoint: &ServingEndpoint) {
    if req.writer.is_none() {
        let writer = StreamWriter::of(endpoint);
        record_stream(gw, req, writer.clone());
        req.writer = Some(writer);
    }
}

/// Resumes the stream at another engine after the last forwarded event, if the route allows it.
async fn resume(state: &mut StreamState, reason: &str, is_silent: bool) -> Result<(), BodyAborted> {
    let now = state.gw.now();
    if let Some(opened) = state.opened.take() {
        state.gw.with_health(&opened.endpoint.id, |health| health.record_unanswered(now));
        let took = now.since(opened.sent_at);
        state.timeline.record_attempt(&opened.endpoint.id, "broke-off", took);
        let call = FailedCall::unfinished(&state.req, &opened, is_silent);
        drop(opened);
        match is_silent && !can_resume(state) {
            // The time of the request has passed.
            true => spawn_check(&state.gw, call),
            false => check_endpoint_end(&state.gw, call).await,
        }
    }
    state.splitter = EventSplitter::new(&state.gw.answer_room);
    if !can_resume(state) {
        return Err(abort(state, reason));
    }
    if !has_endpoint(&state.gw, &state.req) {
        return Err(abort(state, &format!("{reason}; no engine that may go on takes work")));
    }
    let (gw, last) = (state.gw.clone(), state.last_event_id);
    // The results were released with the first event, because they occupy capacity that others need; before
    // the first event they may still exist.
    let inputs = match &state.inputs {
        Some(_) if state.events > 0 => {
            match run_stages(&gw, &state.req, None, &mut state.held).await {
                Ok(results) => Some(results.handles),
                Err(refusal) => {
                    return Err(abort(state, &format!("{reason}; {}", refusal.detail)));
                }
            }
        }
        inputs => inputs.clone(),
    };
    let opened = open_stream(
        &gw,
        &state.req,
        &mut state.timeline,
        None,
        inputs.as_deref(),
        last,
        &mut state.runs,
    )
    .await;
    match opened {
        Ok(opened) if opened.head.status.is_success() => {
            state.opened = Some(opened);
            Ok(())
        }
        Ok(opened) => {
            let detail = format!("{reason}; another engine answered {}", opened.head.status);
            Err(abort(state, &detail))
        }
        Err(refusal) => Err(abort(state, &format!("{reason}; {}", refusal.detail))),
    }
}

fn abort(state: &mut StreamState, reason: &str) -> BodyAborted {
    state.finished = true;
    state.opened = None;
    state.timeline.finish(&state.gw, "broken", reason);
    BodyAborted
}
