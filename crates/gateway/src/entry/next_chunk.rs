use masticstair_core::prelude::*;
use std::time::Duration;

use super::engine_output::EngineOutput;
use super::stream_state::StreamState;

/// How long an engine may stall before a stream that can be resumed moves to another engine, as a multiple of
/// the longest on-time gap.
const STALL_GAP_FACTOR: u32 = 3;

/// The longest on-time gap where the route defines none.
const DEFAULT_GAP: Duration = Duration::from_millis(500);

/// Waits for the next bytes of the engine.
pub(super) async fn next_chunk(state: &mut StreamState) -> EngineOutput {
    let gap = state.req.route.max_event_gap.map_or(DEFAULT_GAP, Millis::duration);
    let left = state.req.deadline.since(state.gw.now());
    if left.is_zero() {
        // An engine that never pauses would not let the timeout below pass.
        return EngineOutput::Silent("the time passed".into());
    }
    let can_resume = state.can_resume();
    let Some(opened) = &mut state.opened else { return EngineOutput::Broken("no engine".into()) };
    let now = state.gw.now();
    let stalls_in = opened.stalls_at(now, gap * STALL_GAP_FACTOR).since(now);
    let limit = if can_resume { left.min(stalls_in) } else { left };
    let awaited_since = opened.awaited_since.unwrap_or(now);
    match monoio::time::timeout(limit, opened.body.next()).await {
        Ok(Ok(Some(chunk))) => {
            opened.last_output = state.gw.now();
            EngineOutput::Chunk(chunk)
        }
        Ok(Ok(None)) => EngineOutput::End,
        Ok(Err(e)) => EngineOutput::Broken(e.to_string().into()),
        Err(_) => {
            let waited = state.gw.now().since(awaited_since).as_millis();
            EngineOutput::Silent(format!("no event within {waited} ms").into())
        }
    }
}
