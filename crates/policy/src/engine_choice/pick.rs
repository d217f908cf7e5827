use masticstair_core::prelude::*;
use std::time::Duration;

use super::EngineView;

/// Prompt tokens that a usual engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 30.0;

/// What a request in progress adds to the time to the first token.
const PER_REQUEST: Duration = Duration::from_millis(6);

/// What the transfer of inputs from another data centre costs.
const FAR_COST: Duration = Duration::from_millis(40);

/// Engines that keep the beginning of a prompt: the second one takes over while the first one is busy.
const KEEPERS: usize = 2;

/// How far random draws move the time of an engine, so that hosts with equal views spread their calls.
const JITTER: f64 = 0.15;

/// The least share of successes that a time is divided by.
const MIN_SUCCESS: f64 = 0.05;

/// Returns the position of the engine for a request.
///
/// The engines with the highest affinity for the beginning of the prompt are taken to keep its `shared`
/// tokens; `own` tokens are kept nowhere. The first of them whose first token is expected within `patience`
/// gets the request, because reading the prompt elsewhere costs every request on that engine. A beginning that
/// is read sooner than the inputs are moved is kept in each data centre by engines of its own. Otherwise the
/// engine with the earliest first token gets it. `hosts` share the engines, and each is taken to have as
/// much work there as this one.
pub fn pick_engine(
    engines: &[EngineView],
    shared: TokenCount,
    own: TokenCount,
    hosts: usize,
    patience: Duration,
    mut draw: impl FnMut() -> Draw,
) -> Option<usize> {
    let any_usable = engines.iter().any(|e| !e.is_avoided);
    let usable = |position: &usize| !any_usable || !engines[*position].is_avoided;
    let mut order: Vec<_> = (0..engines.len()).filter(usable).collect();
    order.sort_by_key(|position| std::cmp::Reverse(engines[*position].affinity));
    let limit = patience.as_secs_f64() * 1e3;
    if shared.get() > 0 {
        let keeps =
            |position: &&usize| first_token_ms(&engines[**position], own.get(), hosts) < limit;
        let moves = shared.get() as f64 / TOKENS_PER_MS < FAR_COST.as_secs_f64() * 1e3;
        let any_near = order.iter().any(|position| engines[*position].is_near);
        let takes = |position: &&usize| !moves || !any_near || engines[**position].is_near;
        if let Some(keeper) = order.iter().filter(takes).take(KEEPERS).find(keeps) {
            return Some(*keeper);
        }
    }
    let unread = own.get() + shared.get();
    let time = |position: &usize| {
        let jitter = 1.0 + JITTER * draw().fraction();
        (*position, first_token_ms(&engines[*position], unread, hosts) * jitter)
    };
    let times: Vec<_> = order.iter().map(time).collect();
    times.into_iter().min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(position, _)| position)
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
