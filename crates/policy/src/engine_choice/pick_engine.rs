use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::time::Duration;

use super::{EngineCandidate, SplitPrompt};
use crate::engine_model::{EngineEstimate, PromptLoad};

/// The work of all hosts at an engine, as a multiple of that of this host and the square root of their number. The square
/// root counts other hosts only in part: they see that the engine is busy and use another one. Above 1, because prompts of
/// other hosts may be longer.
const OTHER_HOSTS_LOAD: f64 = 1.5;

/// The largest random increase of an expected time, as a fraction, so that hosts with equal views spread their
/// calls.
const JITTER: f64 = 0.15;

/// The lower bound of the success rate that an expected time is divided by.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// The number of engines that cache a prompt prefix; the second takes over while the first is busy.
const CACHE_HOLDERS: usize = 2;

/// How often a prefix counts that an engine has to prefill: once for the request itself and once for the requests that
/// it delays there. The second cache holder counts it once, so that few engines have a copy.
const PREFIX_COST: [f64; CACHE_HOLDERS + 1] = [0.0, 1.0, 2.0];

/// Returns the index of the engine for a request; `None` when there are no engines.
///
/// The engines with the highest affinity for the prompt are assumed to cache its prefix. The first cache holder that is
/// expected to return its first token within `wait_limit` gets the request, because prefilling the prompt on another
/// engine delays every request there. A prefix that takes less time to prefill than the inputs take to transfer has
/// separate cache holders in each data centre. If no cache holder qualifies, the engine with the earliest expected first
/// token gets the request; this may still be a cache holder, because its wait can be shorter than the prefill of the
/// prefix elsewhere. `estimate` is that of the pool; `hosts` hosts share the engines, and each is assumed to have as much
/// work there as this one.
pub fn pick_engine(
    engines: &[EngineCandidate],
    prompt: &SplitPrompt,
    estimate: &EngineEstimate,
    hosts: usize,
    wait_limit: Duration,
    mut draw: impl FnMut() -> Draw,
) -> Option<usize> {
    let any_usable = engines.iter().any(|e| !e.is_in_backoff);
    let usable = |position: &usize| !any_usable || !engines[*position].is_in_backoff;
    let mut order: Vec<_> = (0..engines.len()).filter(usable).collect();
    order.sort_by_key(|position| std::cmp::Reverse(engines[*position].affinity));
    let holders = cache_holders(engines, &order, prompt, estimate);
    let limit_ms = wait_limit.as_secs_f64() * 1e3;
    let is_within_limit = |position: &&usize| {
        first_token_ms(&engines[**position], prompt, 0.0, estimate, hosts) < limit_ms
    };
    if let Some(holder) = holders.iter().find(is_within_limit) {
        return Some(*holder);
    }
    let time = |position: &usize| {
        let rank = holders.iter().position(|holder| holder == position);
        let prefix_cost = PREFIX_COST[rank.unwrap_or(CACHE_HOLDERS)];
        let jitter = 1.0 + JITTER * draw().fraction();
        let engine = &engines[*position];
        (*position, first_token_ms(engine, prompt, prefix_cost, estimate, hosts) * jitter)
    };
    let times: Vec<_> = order.iter().map(time).collect();
    times.into_iter().min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(position, _)| position)
}

/// Returns the engines of highest affinity that may cache the prefix. `order` is by descending affinity.
fn cache_holders(
    engines: &[EngineCandidate],
    order: &[usize],
    prompt: &SplitPrompt,
    estimate: &EngineEstimate,
) -> SmallVec<[usize; CACHE_HOLDERS]> {
    if prompt.prefix.get() == 0 {
        return SmallVec::new();
    }
    let prefill = estimate.per_not_held.as_secs_f64() * prompt.prefix.get() as f64;
    // A copy delays the requests beside the one that reads it as well.
    let prefill = prefill * PREFIX_COST[CACHE_HOLDERS];
    let prefill_beats_transfer = prefill < prompt.remote_cost.as_secs_f64();
    let any_near = order.iter().any(|position| engines[*position].is_near);
    let is_allowed =
        |position: &&usize| !prefill_beats_transfer || !any_near || engines[**position].is_near;
    order.iter().filter(is_allowed).take(CACHE_HOLDERS).copied().collect()
}

/// Returns the expected time to first token in milliseconds, without the transfer to an idle engine, if the prefix counts
/// `prefix_cost` times.
fn first_token_ms(
    engine: &EngineCandidate,
    prompt: &SplitPrompt,
    prefix_cost: f64,
    estimate: &EngineEstimate,
    hosts: usize,
) -> f64 {
    let load_factor = OTHER_HOSTS_LOAD * (hosts.max(1) as f64).sqrt();
    let backlog = engine.prompt_backlog.get() as f64 * load_factor;
    let load = PromptLoad {
        fresh: prompt.suffix,
        waiting: TokenCount::new(backlog as u64),
        not_held: TokenCount::new((prompt.prefix.get() as f64 * prefix_cost) as u64),
        // Measured with the requests of other hosts beside those of this one.
        beside: engine.in_flight,
        ..PromptLoad::default()
    };
    let expected = estimate.first_event(&load).as_secs_f64() * 1e3;
    let transfer = if engine.is_near { Duration::ZERO } else { prompt.remote_cost };
    expected * engine.relative_latency / (1.0 - engine.failure_rate).max(MIN_SUCCESS_RATE)
        + transfer.as_secs_f64() * 1e3
        + engine.warmup.as_secs_f64() * 1e3
}
