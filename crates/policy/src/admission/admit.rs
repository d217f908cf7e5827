use super::check_stage::{expected_work, refusal};
use super::{Admission, QueueView, StageEstimate};
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
) -> Admission {
    let work = expected_work(stages);
    let wait = expected_wait(queue, work);
    let remaining = deadline.since(now);
    let longest_wait = remaining.saturating_sub(work).min(remaining.mul_f64(MAX_WAIT_SHARE));
    if wait.saturating_add(work) >= remaining || wait > longest_wait {
        return Admission::Refuse(refusal(
            wait,
            work,
            remaining,
            wait.saturating_sub(longest_wait),
        ));
    }
    if wait.is_zero() { Admission::Admit } else { Admission::Queue { wait } }
}

/// Estimates how long one more request waits for its slot.
fn expected_wait(queue: &QueueView, work: Duration) -> Duration {
    let account = &queue.account;
    let slots = f64::from(queue.limit.get().max(1));
    let host = if queue.in_flight < queue.limit && account.ahead.get() == 0 {
        0.0
    } else {
        // Slots that are all busy free one after another, the first after this time on average.
        (account.ahead.get() as f64 + work.as_micros() as f64) / slots
    };
    let own_slots = f64::from(account.concurrency.get().max(1));
    let own = if account.running < account.concurrency && account.waiting.get() == 0 {
        0.0
    } else {
        (account.waiting.get() as f64 + work.as_micros() as f64) / own_slots
    };
    Duration::from_micros(host.max(own) as u64).max(account.rate_wait)
}
