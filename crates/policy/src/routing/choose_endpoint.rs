use super::score::{completion_us, draw_weight};
use super::{CandidateView, Choice, RouteRequest, SplitMix64};
use crate::breaker::BreakerStatus;
use crate::estimate::micros;
use masticstair_core::prelude::*;
use smallvec::SmallVec;

/// Indices of candidates; stored inline for pools of usual size.
type Positions = SmallVec<[usize; 32]>;

/// Chooses an endpoint for one attempt.
///
/// Leaving and expired endpoints are never chosen; tried and ejected ones only as a last resort.
/// Returns `None` if no endpoint is live, or if a hedge has no other endpoint.
pub fn choose_endpoint(
    now: Timestamp,
    candidates: &[CandidateView<'_>],
    request: &RouteRequest<'_>,
    draw: Draw,
) -> Option<Choice> {
    let mut draws = SplitMix64::new(draw);
    let mut usable: Positions =
        (0..candidates.len()).filter(|&i| candidates[i].is_live(now)).collect();
    let half_ejected = is_more_than_half_ejected(candidates, &usable);
    let untried = |i: usize| !request.tried.contains(candidates[i].id);
    if !request.tried.is_empty() && (request.hedge || usable.iter().any(|&i| untried(i))) {
        usable.retain(|i| untried(*i));
    }
    if request.may_probe && !request.hedge {
        let due = |&i: &usize| candidates[i].breaker_status == BreakerStatus::ProbeDue;
        let due: Positions = usable.iter().copied().filter(due).collect();
        if let Some(position) = draw_uniformly(&due, draws.next()) {
            return Some(Choice { position, probe: true });
        }
    }
    // Ejected endpoints are a last resort. If more than half of the pool is ejected, the fault is more
    // likely on the side of this host than of the endpoints, and ejections are ignored.
    let open = |i: usize| candidates[i].breaker_status.admits_traffic();
    if request.hedge || (!half_ejected && usable.iter().any(|&i| open(i))) {
        usable.retain(|i| open(*i));
    }
    let position = prefer_local(now, candidates, &usable, &mut draws)?;
    Some(Choice { position, probe: false })
}

/// Returns whether more than half of the live endpoints are ejected, which can happen when endpoints
/// leave after the ejections.
fn is_more_than_half_ejected(candidates: &[CandidateView<'_>], live: &Positions) -> bool {
    let ejected = live.iter().filter(|&&i| !candidates[i].breaker_status.admits_traffic()).count();
    ejected * 2 > live.len()
}

/// Chooses an endpoint in the local data centre, unless a remote one is faster by more than its round
/// trip.
fn prefer_local(
    now: Timestamp,
    candidates: &[CandidateView<'_>],
    usable: &Positions,
    draws: &mut SplitMix64,
) -> Option<usize> {
    let local = better_of_two(now, candidates, usable, draws, true);
    let remote = better_of_two(now, candidates, usable, draws, false);
    match (local, remote) {
        (Some((near, near_score)), Some((far, far_score))) => {
            let round_trip = micros(candidates[far].round_trip);
            Some(if far_score + round_trip < near_score { far } else { near })
        }
        (Some((position, _)), None) | (None, Some((position, _))) => Some(position),
        (None, None) => None,
    }
}

/// Draws two different candidates, inside (`local`) or outside the local data centre, and returns the
/// one with the lower estimated completion time, with that time in microseconds.
fn better_of_two(
    now: Timestamp,
    candidates: &[CandidateView<'_>],
    positions: &Positions,
    draws: &mut SplitMix64,
    local: bool,
) -> Option<(usize, f64)> {
    let weight = |c: &CandidateView<'_>| if c.is_local() == local { draw_weight(c) } else { 0.0 };
    let mut weights: SmallVec<[f64; 32]> =
        positions.iter().map(|&i| weight(&candidates[i])).collect();
    let scored =
        |index: usize| (positions[index], completion_us(now, &candidates[positions[index]]));
    let first = draw_by_weight(&weights, draws.next())?;
    weights[first] = 0.0;
    let best = scored(first);
    match draw_by_weight(&weights, draws.next()).map(scored) {
        Some(second) if second.1 < best.1 => Some(second),
        _ => Some(best),
    }
}

/// Draws an index with a probability proportional to its weight; `None` if all weights are zero.
fn draw_by_weight(weights: &[f64], draw: Draw) -> Option<usize> {
    let mut rest = draw.fraction() * weights.iter().sum::<f64>();
    let mut last = None;
    for (i, &weight) in weights.iter().enumerate() {
        if weight > 0.0 {
            last = Some(i);
            rest -= weight;
            if rest < 0.0 {
                break;
            }
        }
    }
    last
}

fn draw_uniformly(positions: &Positions, draw: Draw) -> Option<usize> {
    let index = (draw.fraction() * positions.len() as f64) as usize;
    positions.get(index).copied()
}
