use bytes::Bytes;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stream_versions::StreamWriter;
use std::rc::Rc;

use super::check_prompt::record_prompt_answer;
use super::client_request::ClientRequest;
use super::stream_copies::record_stream;
use super::stream_state::StreamState;
use crate::Gateway;

/// Takes the complete events, except those that were forwarded before the stream was resumed.
pub(super) fn take_complete_events(state: &mut StreamState) -> Bytes {
    let mut out = Vec::new();
    let mut has_fields = false;
    while let Some(event) = state.splitter.next_event() {
        if let (Some(id), Some(last)) = (event.id, state.last_event_id)
            && id <= last
        {
            continue;
        }
        state.last_event_id = event.id.or(state.last_event_id);
        state.events += u64::from(event.has_fields);
        has_fields |= event.has_fields;
        out.extend_from_slice(&event.bytes);
    }
    if has_fields {
        state.req.waits_since = state.gw.now();
        if let Some(opened) = &mut state.opened {
            opened.awaited_since = None;
            if !std::mem::replace(&mut opened.has_events, true) {
                record_prompt_answer(&state.gw, &state.req);
            }
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
        let (endpoint, load) = (&opened.endpoint.id, &opened.load);
        state.gw.record_first_event(&state.req.service, endpoint, load, took);
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
