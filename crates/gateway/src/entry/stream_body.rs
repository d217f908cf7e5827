use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{LocalBoxStream, unfold};
use masticstair_core::prelude::*;
use masticstair_net::http::server::BodyAborted;
use std::rc::Rc;
use std::time::Duration;

use super::client_request::ClientRequest;
use super::event_splitter::EventSplitter;
use super::held_results::HeldResults;
use super::in_flight::InFlight;
use super::stage_plan::run_stages;
use super::stream::{Opened, open, usual_first_event};
use crate::Gateway;
use crate::telemetry::Story;

/// How long an engine may pause before a stream that can be resumed goes on elsewhere, in multiples of the
/// longest pause that is on time.
const PAUSE_FACTOR: u32 = 3;

/// The longest pause on time where the route names none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// A stream that is passed on. Dropping it cancels the work of the engine.
pub(super) struct StreamState {
    gw: Rc<Gateway>,
    req: ClientRequest,
    story: Story,
    inputs: Option<Vec<ResultHandle>>,
    held: HeldResults,
    opened: Option<Opened>,
    splitter: EventSplitter,
    /// The last event that was passed on.
    last: Option<u64>,
    /// Engines that began to answer.
    runs: u32,
    events: u64,
    ended: bool,
    _in_flight: InFlight,
}

impl StreamState {
    pub(super) fn new(
        gw: Rc<Gateway>,
        req: ClientRequest,
        story: Story,
        in_flight: InFlight,
        held: HeldResults,
        inputs: Option<Vec<ResultHandle>>,
        opened: Opened,
    ) -> Self {
        let last = req.meta.resume_after;
        Self {
            gw,
            req,
            story,
            inputs,
            held,
            opened: Some(opened),
            splitter: EventSplitter::default(),
            last,
            runs: 1,
            events: 0,
            ended: false,
            _in_flight: in_flight,
        }
    }
}

impl Drop for StreamState {
    fn drop(&mut self) {
        if !self.ended {
            self.story.end(&self.gw, "cancelled", "the client left");
        }
    }
}

/// What an engine sent next.
enum Next {
    Piece(Bytes),
    End,
    Broken(Box<str>),
}

/// Makes the body of the answer from the events of the engine.
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

/// Returns the events that came; none after the complete stream.
async fn next_events(state: &mut StreamState) -> Result<Option<Bytes>, BodyAborted> {
    loop {
        if state.ended {
            return Ok(None);
        }
        match next_piece(state).await {
            Next::Piece(piece) => {
                state.splitter.push(&piece);
                let events = take_events(state);
                if !events.is_empty() {
                    return Ok(Some(events));
                }
                if state.splitter.is_too_long() {
                    return Err(abort(state, "an event is too long"));
                }
            }
            Next::End if state.splitter.rest().is_empty() => {
                state.ended = true;
                state.opened = None;
                let detail = format!("{} events", state.events);
                state.story.end(&state.gw, "answered", &detail);
                return Ok(None);
            }
            Next::End => resume(state, "the stream ended within an event").await?,
            Next::Broken(reason) => resume(state, &reason).await?,
        }
    }
}

async fn next_piece(state: &mut StreamState) -> Next {
    let gap = state.req.route.gap.map_or(DEFAULT_GAP, Millis::duration);
    let left = state.req.deadline.since(state.gw.now());
    let can_resume = can_resume(state);
    let limit = if can_resume && state.events > 0 { left.min(gap * PAUSE_FACTOR) } else { left };
    let Some(opened) = &mut state.opened else { return Next::Broken("no engine".into()) };
    match monoio::time::timeout(limit, opened.body.next()).await {
        Ok(Ok(Some(piece))) => Next::Piece(piece),
        Ok(Ok(None)) => Next::End,
        Ok(Err(e)) => Next::Broken(e.to_string().into()),
        Err(_) => Next::Broken(format!("no event within {} ms", limit.as_millis()).into()),
    }
}

fn can_resume(state: &StreamState) -> bool {
    state.runs < state.req.route.max_runs()
}

/// Takes the whole events that came, but for those that were passed on before.
fn take_events(state: &mut StreamState) -> Bytes {
    let mut out = Vec::new();
    while let Some(event) = state.splitter.next_event() {
        if let (Some(id), Some(last)) = (event.id, state.last)
            && id <= last
        {
            continue;
        }
        state.last = event.id.or(state.last);
        state.events += 1;
        out.extend_from_slice(&event.bytes);
    }
    if !out.is_empty() && state.story.first.is_none() {
        note_first(state);
    }
    out.into()
}

/// Notes the first event: the engine has read the prompt and the inputs.
fn note_first(state: &mut StreamState) {
    let now = state.gw.now();
    state.story.first = Some(now);
    if let Some(opened) = &mut state.opened {
        opened.working.note_read();
        let took = now.since(opened.sent);
        let usual = usual_first_event(&state.req, took);
        state.gw.with_health(&opened.endpoint.id, |health| health.record_answer(usual, false));
        state.gw.stage_times.note(&state.req.service, took);
    }
    state.held.give_up_all();
}

/// Goes on at another engine after the last event that was passed on, where the route allows it.
async fn resume(state: &mut StreamState, reason: &str) -> Result<(), BodyAborted> {
    let now = state.gw.now();
    if let Some(opened) = state.opened.take() {
        state.gw.with_health(&opened.endpoint.id, |health| health.record_unanswered(now));
        let took = now.since(opened.sent);
        state.story.note_attempt(&opened.endpoint.id, "broke-off", took);
    }
    state.splitter = EventSplitter::default();
    if !can_resume(state) {
        return Err(abort(state, reason));
    }
    let (gw, last) = (state.gw.clone(), state.last);
    // The results were given up with the first event, because they take room that others need; without one
    // they may still be there.
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
    let opened =
        open(&gw, &state.req, &mut state.story, None, inputs.as_deref(), last, &mut state.runs)
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
    state.ended = true;
    state.opened = None;
    state.story.end(&state.gw, "broken", reason);
    BodyAborted
}
