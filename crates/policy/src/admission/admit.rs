use super::check_stage::{expected_work, refusal};
use super::{AdmissionDecision, QueueView, StageEstimate};
use masticstair_core::prelude::*;
use std::time::Duration;

/// The most of the time to the deadline that a request is expected to wait. A longer queue completes no
/// more requests, and takes longer to return to normal after a burst.
const MAX_WAIT_SHARE: f64 = 0.4;

/// Decides about a new request by its deadline, the queue and the stages that it needs.
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

/// Estimates how long one more request waits for its slot.
fn expected_wait(queue: &QueueView, work: Duration) -> Duration {
    let account = &queue.account;
    let host_slots = f64::from(queue.limit.get().max(1));
    let host_wait_us = if queue.in_flight < queue.limit && account.cost_ahead.get() == 0 {
        0.0
    } else {
        // Slots that are all busy free one after another, the first after this time on average.
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
