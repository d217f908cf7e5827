use futures_channel::oneshot;
use masticstair_core::prelude::*;
use masticstair_policy::admission::{HostLimit, StageEstimate, expected_work};
use masticstair_policy::fair_queue::{Dequeued, FairQueue, QueuedRequest, TicketId, WorkClass};
use std::collections::HashMap;

use super::queue_outcome::QueueOutcome;

/// A queued request.
struct Waiter {
    wake: oneshot::Sender<QueueOutcome>,
    /// The estimates from the time of admission, from which its expected work is computed.
    stages: Vec<StageEstimate>,
}

/// The fair queue and the tasks whose requests wait in it.
pub(super) struct AdmissionQueue {
    pub(super) queue: FairQueue,
    waiters: HashMap<TicketId, Waiter>,
    last_ticket: u64,
}

impl AdmissionQueue {
    pub(super) fn new(queue: FairQueue) -> Self {
        Self { queue, waiters: HashMap::new(), last_ticket: 0 }
    }

    pub(super) fn next_ticket(&mut self) -> TicketId {
        self.last_ticket += 1;
        TicketId::new(self.last_ticket)
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Registers the task of a queued request; the receiver gets the outcome.
    pub(super) fn add_waiter(
        &mut self,
        ticket: TicketId,
        stages: Vec<StageEstimate>,
    ) -> oneshot::Receiver<QueueOutcome> {
        let (wake, woken) = oneshot::channel();
        self.waiters.insert(ticket, Waiter { wake, stages });
        woken
    }

    /// Removes a request whose task no longer waits.
    pub(super) fn cancel(&mut self, now: Timestamp, ticket: TicketId) {
        self.waiters.remove(&ticket);
        self.queue.cancel(now, ticket);
    }

    /// Starts queued requests while there are free slots.
    pub(super) fn dispatch(&mut self, now: Timestamp, limit: &mut HostLimit) {
        for class in WorkClass::ALL {
            while limit.try_acquire(class) {
                if !self.start_next(now, class) {
                    limit.release(class);
                    break;
                }
            }
        }
    }

    /// Starts the next request of a class; the caller has acquired its slot. Returns whether one was
    /// started.
    fn start_next(&mut self, now: Timestamp, class: WorkClass) -> bool {
        loop {
            let waiters = &self.waiters;
            let is_late = |r: &QueuedRequest| {
                let work = waiters.get(&r.ticket).map(|w| expected_work(&w.stages));
                work.unwrap_or_default() >= r.deadline.since(now)
            };
            match self.queue.dequeue(now, class, is_late) {
                None => return false,
                Some(Dequeued::Late(ticket)) => {
                    self.notify(ticket, QueueOutcome::Late);
                }
                Some(Dequeued::Granted(ticket)) => {
                    if self.notify(ticket, QueueOutcome::Granted) {
                        return true;
                    }
                    self.queue.finish(now, ticket);
                }
            }
        }
    }

    /// Sends the outcome to the task; returns whether the task still waits.
    fn notify(&mut self, ticket: TicketId, outcome: QueueOutcome) -> bool {
        let waiter = self.waiters.remove(&ticket);
        waiter.is_some_and(|w| w.wake.send(outcome).is_ok())
    }
}
