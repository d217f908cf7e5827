use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{LocalBoxStream, unfold};
use masticstair_core::prelude::*;
use masticstair_net::http::server::BodyAborted;
use std::rc::Rc;

use super::check_endpoint_end::spawn_check;
use super::check_request::record_request_answer;
use super::client_request::ClientRequest;
use super::engine_output::EngineOutput;
use super::event_splitter::EventSplitter;
use super::failed_call::FailedCall;
use super::held_results::HeldResults;
use super::in_flight::InFlight;
use super::next_chunk::next_chunk;
use super::opened_stream::OpenedStream;
use super::resume_stream::{abort, resume};
use super::take_events::take_complete_events;
use crate::Gateway;
use crate::endpoint_end::is_endpoint_silent;
use crate::telemetry::RequestTimeline;

/// A stream that is being forwarded. Dropping it cancels the work of the engine.
pub(super) struct StreamState {
    pub(super) gw: Rc<Gateway>,
    pub(super) req: ClientRequest,
    pub(super) timeline: RequestTimeline,
    pub(super) inputs: Option<Vec<ResultHandle>>,
    pub(super) held: HeldResults,
    pub(super) opened: Option<OpenedStream>,
    pub(super) splitter: EventSplitter,
    /// The id of the last event that was forwarded.
    pub(super) last_event_id: Option<u64>,
    /// How often the request ran, or may have run, at an engine.
    pub(super) runs: u32,
    /// The number of forwarded events.
    pub(super) events: u64,
    pub(super) finished: bool,
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
    /// Returns whether the request may run once more.
    pub(super) fn can_resume(&self) -> bool {
        self.runs < self.req.route.max_runs()
    }

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
