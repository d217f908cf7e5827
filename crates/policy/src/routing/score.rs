use super::CandidateView;
use crate::breaker::BreakerStatus;
use crate::estimate::micros;
use masticstair_core::prelude::*;

/// Lower bound of the success rate when it is used as a divisor.
const MIN_SUCCESS: f64 = 0.02;

/// Lower bound of the latency in microseconds when it is used as a divisor.
const MIN_LATENCY_US: f64 = 50.0;

/// Returns the expected time in microseconds per successful answer at the observed load.
pub(super) fn cost_us(candidate: &CandidateView<'_>) -> f64 {
    let latency = micros(candidate.latency).max(MIN_LATENCY_US);
    latency / candidate.success.get().max(MIN_SUCCESS)
}

/// Returns the estimated time in microseconds to complete one more call.
pub(super) fn completion_us(now: Timestamp, candidate: &CandidateView<'_>) -> f64 {
    let other_calls =
        candidate.report.map_or(0.0, |r| r.calls_of_other_hosts(now, candidate.in_flight));
    let load = f64::from(candidate.in_flight.get()) + other_calls + 1.0;
    let fill = load / capacity(candidate);
    // Below capacity, calls start immediately and the load only breaks ties between equal endpoints.
    cost_us(candidate) * (1.0 + fill).max(2.0 * fill) / 2.0
}

/// Returns the weight in the random draw: the rate of successful answers that the endpoint can
/// sustain.
pub(super) fn draw_weight(candidate: &CandidateView<'_>) -> f64 {
    let share = match candidate.breaker_status {
        BreakerStatus::Recovering(share) => share.get(),
        BreakerStatus::Closed | BreakerStatus::Ejected | BreakerStatus::ProbeDue => 1.0,
    };
    share * capacity(candidate) / cost_us(candidate)
}

fn capacity(candidate: &CandidateView<'_>) -> f64 {
    f64::from(candidate.capacity.get().max(1))
}
