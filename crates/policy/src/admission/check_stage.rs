use super::{AdmissionRefusal, StageEstimate};
use masticstair_core::prelude::*;
use std::time::Duration;

/// Upper bound of `Retry-After`; queue estimates are not reliable further ahead.
const MAX_RETRY_AFTER_S: u64 = 30;

/// Checks whether a request can still meet its deadline with the remaining stages.
///
/// Called when a request leaves the queue and before each stage, so that a request that becomes late
/// wastes the work of at most one stage.
///
/// `contended` is true if other requests wait for slots; the check then uses the mean latencies.
/// Without contention the slot would stay idle, so the check is optimistic and subtracts one deviation
/// per stage.
pub fn check_stage(
    now: Timestamp,
    deadline: Timestamp,
    stages: &[StageEstimate],
    contended: bool,
) -> Result<(), AdmissionRefusal> {
    let remaining = deadline.since(now);
    let work = if contended { expected_work(stages) } else { least_work(stages) };
    if work < remaining {
        return Ok(());
    }
    let excess = work.saturating_sub(remaining);
    Err(refusal(Duration::ZERO, work, remaining, excess))
}

/// Returns the sum of the mean latencies of the stages.
pub fn expected_work(stages: &[StageEstimate]) -> Duration {
    stages.iter().map(|s| s.latency.mean).fold(Duration::ZERO, Duration::saturating_add)
}

/// Returns the sum of the stage latencies, each reduced by one deviation.
fn least_work(stages: &[StageEstimate]) -> Duration {
    let least = |s: &StageEstimate| s.latency.mean.saturating_sub(s.latency.deviation);
    stages.iter().map(least).fold(Duration::ZERO, Duration::saturating_add)
}

/// Builds a refusal. `excess` is the time by which the wait has to shrink before the request is
/// admitted.
pub(super) fn refusal(
    wait: Duration,
    work: Duration,
    remaining: Duration,
    excess: Duration,
) -> AdmissionRefusal {
    let seconds = (excess.as_millis().div_ceil(1_000) as u64).clamp(1, MAX_RETRY_AFTER_S);
    AdmissionRefusal { wait, work, remaining, retry_after_s: seconds as u32 }
}
