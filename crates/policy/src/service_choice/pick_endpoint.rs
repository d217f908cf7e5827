use masticstair_core::prelude::*;
use std::time::Duration;

use super::Candidate;

/// The expected additional latency of a call to another data centre.
const REMOTE_PENALTY: Duration = Duration::from_millis(3);

/// The lower bound of compared latencies, so that noise does not decide between endpoints of a fast service.
const LATENCY_FLOOR: Duration = Duration::from_millis(4);

/// The largest random increase of a score, as a fraction, so that hosts with equal views spread their calls.
const JITTER: f64 = 0.2;

/// The lower bound of the success rate that a score is divided by.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// The weight of a reported request that does not make this one wait, against one of this host. Every host gets the same
/// report, and would leave the same endpoints.
const OTHERS_WEIGHT: f64 = 0.25;

/// Returns the index of the candidate with the lowest expected time to a successful answer; `None` when there
/// are no candidates. Candidates in backoff come last.
///
/// Answers hosts that see stale reports of the same endpoints: a random addition spreads them over those that are about
/// equal. With two random choices slow endpoints keep too many requests.
pub fn pick_endpoint(candidates: &[Candidate], mut draw: impl FnMut() -> Draw) -> Option<usize> {
    let mut scored: Vec<_> = candidates
        .iter()
        .map(|c| (c.is_in_backoff, score(c) * (1.0 + JITTER * draw().fraction())))
        .enumerate()
        .collect();
    scored.sort_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    scored.first().map(|(position, _)| *position)
}

fn score(c: &Candidate) -> f64 {
    let remote = if c.is_local { Duration::ZERO } else { REMOTE_PENALTY };
    let latency = (c.latency.max(LATENCY_FLOOR) + remote).as_secs_f64();
    let (own, capacity) = (f64::from(c.in_flight), f64::from(c.capacity.max(1)));
    let waiting = |requests: f64| (requests + 1.0 - capacity).max(0.0);
    let behind_others = waiting(own + c.others) - waiting(own);
    let queued = (own + OTHERS_WEIGHT * c.others + behind_others) / capacity;
    latency * (1.0 + queued) / (1.0 - c.failure_rate).max(MIN_SUCCESS_RATE)
}
