use super::check_stage::{expected_work, refusal};
use super::{Admission, QueueView, StageEstimate};
use masticstair_core::prelude::*;
use std::time::Duration;

/// Decides about a new request by its deadline, the queue and the stages that it needs.
pub fn admit(
    now: Timestamp,
    deadline: Timestamp,
    queue: &QueueView,
    stages: &[StageEstimate],
) -> Admission {
    let work = expected_work(stages);
    let wait = expected_wait(queue, work);
    let remaining = deadline.since(now);
    if wait.saturating_add(work) >= remaining {
        return Admission::Refuse(refusal(wait, work, remaining));
    }
    if wait.is_zero() { Admission::Admit } else { Admission::Queue { wait } }
}

/// Estimates how long one more request waits for its slot.
fn expected_wait(queue: &QueueView, work: Duration) -> Duration {
    let account = &queue.account;
    let slots = f64::from(queue.limit.get().max(1));
    // Fair queueing serves the account's own backlog at its share, but never later than everything
    // that waits now.
    let share = account.share.get().max(f64::EPSILON);
    let ahead = (account.waiting.get() as f64 / share).min(account.total_waiting.get() as f64);
    let host = if queue.in_flight < queue.limit && account.total_waiting.get() == 0 {
        0.0
    } else {
        // Slots that are all busy free one after another, the first after this time on average.
        ahead / slots + work.as_micros() as f64 / slots
    };
    let own_slots = f64::from(account.concurrency.get().max(1));
    let own = if account.running < account.concurrency && account.waiting.get() == 0 {
        0.0
    } else {
        (account.waiting.get() as f64 + work.as_micros() as f64) / own_slots
    };
    Duration::from_micros(host.max(own) as u64).max(account.rate_wait)
}
