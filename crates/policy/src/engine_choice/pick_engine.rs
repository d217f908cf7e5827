use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::time::Duration;

use super::{EngineCandidate, PREFILL_TOKENS_PER_MS};

/// The time that each request in flight adds to the time to first token.
const TIME_PER_REQUEST: Duration = Duration::from_millis(6);

/// The time to transfer the inputs of a request from another data centre.
const INPUT_TRANSFER_TIME: Duration = Duration::from_millis(40);

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
/// The engines with the highest affinity for the prompt are assumed to cache its first `prefix` tokens; the
/// `suffix` tokens are cached nowhere. The first cache holder that is expected to return its first token within
/// `wait_limit` gets the request, because prefilling the prompt on another engine delays every request there. A
/// prefix that takes less time to prefill than the inputs take to transfer has separate cache holders in each
/// data centre. If no cache holder qualifies, the engine with the earliest expected first token gets the
/// request; this may still be a cache holder, because its wait can be shorter than the prefill of the prefix
/// elsewhere. `hosts` hosts share the engines, and each is assumed to have as much work there as this one.
pub fn pick_engine(
    engines: &[EngineCandidate],
    prefix: TokenCount,
    suffix: TokenCount,
    hosts: usize,
    wait_limit: Duration,
    mut draw: impl FnMut() -> Draw,
) -> Option<usize> {
    let any_usable = engines.iter().any(|e| !e.is_in_backoff);
    let usable = |position: &usize| !any_usable || !engines[*position].is_in_backoff;
    let mut order: Vec<_> = (0..engines.len()).filter(usable).collect();
    order.sort_by_key(|position| std::cmp::Reverse(engines[*position].affinity));
    let holders = cache_holders(engines, &order, prefix);
    let limit_ms = wait_limit.as_secs_f64() * 1e3;
    let is_within_limit =
        |position: &&usize| first_token_ms(&engines[**position], suffix.get(), hosts) < limit_ms;
    if let Some(holder) = holders.iter().find(is_within_limit) {
        return Some(*holder);
    }
    let time = |position: &usize| {
        let rank = holders.iter().position(|holder| holder == position);
        let prefix_cost = PREFIX_COST[rank.unwrap_or(CACHE_HOLDERS)];
        let uncached = suffix.get() + (prefix.get() as f64 * prefix_cost) as u64;
        let jitter = 1.0 + JITTER * draw().fraction();
        let engine = &engines[*position];
        (*position, first_token_ms(engine, uncached, hosts) * jitter)
    };
    let times: Vec<_> = order.iter().map(time).collect();
    times.into_iter().min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(position, _)| position)
}

/// Returns the engines of highest affinity that may cache the prefix. `order` is by descending affinity.
fn cache_holders(
    engines: &[EngineCandidate],
    order: &[usize],
    prefix: TokenCount,
) -> SmallVec<[usize; CACHE_HOLDERS]> {
    if prefix.get() == 0 {
        return SmallVec::new();
    }
    let prefill_beats_transfer =
        prefix.get() as f64 / PREFILL_TOKENS_PER_MS < INPUT_TRANSFER_TIME.as_secs_f64() * 1e3;
    let any_near = order.iter().any(|position| engines[*position].is_near);
    let is_allowed =
        |position: &&usize| !prefill_beats_transfer || !any_near || engines[**position].is_near;
    order.iter().filter(is_allowed).take(CACHE_HOLDERS).copied().collect()
}

/// Returns the expected time to first token in milliseconds if `uncached` tokens of the prompt are not cached.
fn first_token_ms(engine: &EngineCandidate, uncached: u64, hosts: usize) -> f64 {
    // The square root counts other hosts only in part: they see that the engine is busy and use another one.
    let load_factor = (hosts.max(1) as f64).sqrt();
    let backlog = engine.prompt_backlog as f64 * load_factor;
    let prefill = (uncached as f64 + backlog) / PREFILL_TOKENS_PER_MS;
    let running = TIME_PER_REQUEST.as_secs_f64() * 1e3 * f64::from(engine.in_flight) * load_factor;
    let transfer = if engine.is_near { 0.0 } else { INPUT_TRANSFER_TIME.as_secs_f64() * 1e3 };
    let warmup = engine.warmup.as_secs_f64() * 1e3;
    (prefill + running) * engine.relative_latency
        / (1.0 - engine.failure_rate).max(MIN_SUCCESS_RATE)
        + transfer
        + warmup
}
