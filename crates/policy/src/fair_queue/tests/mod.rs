mod bounds;
mod properties;
mod rules;

use super::*;
use masticstair_core::prelude::*;

const BOUNDS: QueueBounds =
    QueueBounds { total: Slots::new(100_000), account: Slots::new(100_000) };
const FAR: u64 = 1_000_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn id(name: &str) -> AccountId {
    name.parse().unwrap()
}

fn limits(weight: u32) -> AccountLimits {
    AccountLimits {
        weight: Weight::new(weight),
        concurrency: Slots::new(1_000_000),
        rate: 1e6.try_into().unwrap(),
        burst: Slots::new(1_000_000),
    }
}

fn request(ticket: u64, deadline_ms: u64) -> QueuedRequest {
    QueuedRequest {
        ticket: TicketId::new(ticket),
        class: WorkClass::Work,
        cost: Cost::new(1_000),
        deadline: at(deadline_ms),
    }
}

/// Dequeues the next request; it is late if the time to its deadline is less than its cost.
fn dequeue(queue: &mut FairQueue, now_ms: u64, class: WorkClass) -> Option<Dequeued> {
    let now = at(now_ms);
    queue.dequeue(now, class, |r| r.deadline.since(now).as_micros() < r.cost.get().into())
}

fn granted(ticket: u64) -> Option<Dequeued> {
    Some(Dequeued::Granted(TicketId::new(ticket)))
}
