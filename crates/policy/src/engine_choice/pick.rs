use masticstair_core::prelude::*;
use std::time::Duration;

use super::EngineView;

/// Prompt tokens that a usual engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 30.0;

/// What a request in progress adds to the time to the first token.
const PER_REQUEST: Duration = Duration::from_millis(6);

/// What the transfer of inputs from another data centre costs.
const FAR_COST: Duration = Duration::from_millis(40);

/// How far random draws move the time of an engine, so that hosts with equal views spread their calls.
const JITTER: f64 = 0.15;

/// The least share of successes that a time is divided by.
const MIN_SUCCESS: f64 = 0.05;

/// Returns the position of the engine that is expected to give the first token soonest. `shared` prompt
/// tokens are taken to be kept by the two engines with the highest affinity; `own` are not kept anywhere.
/// `hosts` share the engines, and each is taken to have as much work there as this one.
pub fn pick_engine(
    engines: &[EngineView],
    shared: TokenCount,
    own: TokenCount,
    hosts: usize,
    mut draw: impl FnMut() -> Draw,
) -> Option<usize> {
    let usable = |e: &&EngineView| !e.is_avoided;
    let any_usable = engines.iter().any(|e| usable(&e));
    let keeper = engines.iter().filter(|e| usable(e) || !any_usable).map(|e| e.affinity).max();
    let mut best: Option<(usize, f64)> = None;
    for (position, engine) in engines.iter().enumerate() {
        if engine.is_avoided && any_usable {
            continue;
        }
        let kept = keeper == Some(engine.affinity);
        let unread = own.get() + if kept { 0 } else { shared.get() };
        let jitter = 1.0 + JITTER * draw().fraction();
        let time = first_token_ms(engine, unread, hosts) * jitter;
        if best.is_none_or(|(_, least)| time < least) {
            best = Some((position, time));
        }
    }
    best.map(|(position, _)| position)
}

fn first_token_ms(engine: &EngineView, unread: u64, hosts: usize) -> f64 {
    // Others are counted less than in full: they see the same engine busy and go elsewhere.
    let share = (hosts.max(1) as f64).sqrt();
    let backlog = engine.prompt_backlog as f64 * share;
    let read = (unread as f64 + backlog) / TOKENS_PER_MS;
    let beside = PER_REQUEST.as_secs_f64() * 1e3 * f64::from(engine.in_flight) * share;
    let far = if engine.is_near { 0.0 } else { FAR_COST.as_secs_f64() * 1e3 };
    let cold = engine.cold.as_secs_f64() * 1e3;
    (read + beside) * engine.pace / (1.0 - engine.failing).max(MIN_SUCCESS) + far + cold
}
