use super::check_stage::{expected_work, refusal};
use super::{AdmissionDecision, QueueView, StageEstimate};
use masticstair_core::prelude::*;
use std::time::Duration;

/// Maximum expected wait as a share of the time to the deadline. A longer queue completes no
/// additional requests and takes longer to drain after a burst.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Decides whether a new request is admitted, from its deadline, the queue state and the expected
/// latency of its stages.
pub fn admit(
    now: Timestamp,
    deadline: Timestamp,
    queue: &QueueView,
    stages: &[StageEstimate],
) -> AdmissionDecision {
    let work = expected_work(stages);
    let wait = expected_wait(queue, work);
    let remaining = deadline.since(now);
    let longest_wait = remaining.saturating_sub(work).min(remaining.mul_f64(MAX_WAIT_SHARE));
    if wait.saturating_add(work) >= remaining || wait > longest_wait {
        return AdmissionDecision::Refuse(refusal(
            wait,
            work,
            remaining,
            wait.saturating_sub(longest_wait),
        ));
    }
    if wait.is_zero() { AdmissionDecision::Admit } else { AdmissionDecision::Queue { wait } }
}

/// Estimates how long a new request waits for a slot.
fn expected_wait(queue: &QueueView, work: Duration) -> Duration {
    let account = &queue.account;
    let host_slots = f64::from(queue.limit.get().max(1));
    let host_wait_us = if queue.in_flight < queue.limit && account.cost_ahead.get() == 0 {
        0.0
    } else {
        // When all slots are busy, one is released every `work / host_slots` on average.
        (account.cost_ahead.get() as f64 + work.as_micros() as f64) / host_slots
    };
    let account_slots = f64::from(account.concurrency.get().max(1));
    let account_wait_us =
        if account.running < account.concurrency && account.waiting_cost.get() == 0 {
            0.0
        } else {
            (account.waiting_cost.get() as f64 + work.as_micros() as f64) / account_slots
        };
    Duration::from_micros(host_wait_us.max(account_wait_us) as u64).max(account.rate_wait)
}
