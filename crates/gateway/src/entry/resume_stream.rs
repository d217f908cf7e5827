use masticstair_net::http::server::BodyAborted;

use super::check_endpoint_end::{check_endpoint_end, spawn_check};
use super::event_splitter::EventSplitter;
use super::failed_call::FailedCall;
use super::open_stream::open_stream;
use super::stage_plan::run_stages;
use super::stream_state::StreamState;
use super::take_up::has_endpoint;

/// Resumes the stream at another engine after the last forwarded event, if the route allows it.
pub(super) async fn resume(
    state: &mut StreamState,
    reason: &str,
    is_silent: bool,
) -> Result<(), BodyAborted> {
    let now = state.gw.now();
    if let Some(opened) = state.opened.take() {
        state.gw.with_health(&opened.endpoint.id, |health| health.record_unanswered(now));
        let took = now.since(opened.sent_at);
        state.timeline.record_attempt(&opened.endpoint.id, "broke-off", took);
        let call = FailedCall::unfinished(&state.req, &opened, is_silent);
        drop(opened);
        match is_silent && !state.can_resume() {
            // The time of the request has passed.
            true => spawn_check(&state.gw, call),
            false => check_endpoint_end(&state.gw, call).await,
        }
    }
    state.splitter = EventSplitter::new(&state.gw.answer_room);
    if !state.can_resume() {
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

/// Ends the stream without its last event.
pub(super) fn abort(state: &mut StreamState, reason: &str) -> BodyAborted {
    state.finished = true;
    state.opened = None;
    state.timeline.finish(&state.gw, "broken", reason);
    BodyAborted
}
