use super::{AdmissionRefusal, StageEstimate};
use masticstair_core::prelude::*;
use std::time::Duration;

/// The longest time that a caller is told to wait: estimates say little about the time after it.
const MAX_RETRY_AFTER_S: u64 = 30;

/// Decides, before a stage is started, whether the request can still meet its deadline with the stages
/// that are left. It is asked again when a request leaves the queue and before each stage, so that at
/// most the work of one stage is spent on a request that turns out late.
///
/// `contended` tells that other requests wait for slots. Then the expected time counts. Otherwise the
/// work would stay unused, and one deviation less for each stage is taken as a chance worth running.
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

/// Adds up the expected time of stages.
pub fn expected_work(stages: &[StageEstimate]) -> Duration {
    stages.iter().map(|s| s.latency.mean).fold(Duration::ZERO, Duration::saturating_add)
}

/// Adds up the time of stages that all take one deviation less than expected.
fn least_work(stages: &[StageEstimate]) -> Duration {
    let least = |s: &StageEstimate| s.latency.mean.saturating_sub(s.latency.deviation);
    stages.iter().map(least).fold(Duration::ZERO, Duration::saturating_add)
}

/// Describes a refusal; the queue has to get shorter by `excess` before the request is admitted.
pub(super) fn refusal(
    wait: Duration,
    work: Duration,
    remaining: Duration,
    excess: Duration,
) -> AdmissionRefusal {
    let seconds = (excess.as_millis().div_ceil(1_000) as u64).clamp(1, MAX_RETRY_AFTER_S);
    AdmissionRefusal { wait, work, remaining, retry_after_s: seconds as u32 }
}
