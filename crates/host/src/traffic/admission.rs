use futures_channel::oneshot;
use futures_util::future::{Either, select};
use masticstair_core::prelude::*;
use masticstair_policy::admission::{
    AdmissionDecision, AdmissionRefusal, QueueView, StageEstimate, admit, check_stage,
    expected_work,
};
use masticstair_policy::fair_queue::{Cost, QueuedRequest, TicketId, WorkClass};
use std::pin::pin;
use std::time::Duration;

use super::queue_outcome::QueueOutcome;
use super::{AdmissionError, AdmissionRequest, Permit, Traffic};

/// The longest wait before a queued request checks the queue again.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest such wait; it prevents a busy loop if the clock has a low resolution.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Removes the request from the queue if its future is dropped, for example because the caller
/// disconnected.
struct QueuedRequestGuard<'a> {
    traffic: &'a Traffic,
    ticket: TicketId,
    class: WorkClass,
    woken: oneshot::Receiver<QueueOutcome>,
    completed: bool,
}

impl Traffic {
    /// Waits until the request may run and returns its slot.
    ///
    /// # Errors
    ///
    /// Fails at once if the queue is full or the deadline cannot be met, and later if the deadline can no
    /// longer be met.
    pub(crate) async fn admit(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> Result<Permit, AdmissionError> {
        let stages = self.estimate(request.pipeline, request.keys);
        let (ticket, woken) = self.queue_request(request, &stages)?;
        let class = request.class;
        let mut guard =
            QueuedRequestGuard { traffic: self, ticket, class, woken, completed: false };
        let outcome = guard.outcome().await;
        guard.completed = true;
        match outcome {
            Some(QueueOutcome::Granted) => Ok(Permit::new(self.clone(), ticket, class)),
            Some(QueueOutcome::Late) | None => {
                let now = self.0.clock.now();
                let late = check_stage(now, request.deadline, &stages, true);
                Err(late.err().unwrap_or_else(|| late_refusal(now, request, &stages)).into())
            }
        }
    }

    fn queue_request(
        &self,
        request: &AdmissionRequest<'_>,
        stages: &[StageEstimate],
    ) -> Result<(TicketId, oneshot::Receiver<QueueOutcome>), AdmissionError> {
        let now = self.0.clock.now();
        let inner = &mut *self.0.inner.lock();
        let class = request.class;
        let cost = Cost::new(expected_work(stages).as_micros() as u64);
        let queue = QueueView {
            account: inner.admission.queue.view(now, request.account, &request.limits, class, cost),
            limit: inner.limit.limit(class),
            in_flight: inner.limit.in_flight(class),
        };
        if let AdmissionDecision::Refuse(refusal) = admit(now, request.deadline, &queue, stages) {
            return Err(refusal.into());
        }
        let ticket = inner.admission.next_ticket();
        let queued = QueuedRequest { ticket, class, cost, deadline: request.deadline };
        inner.admission.queue.enqueue(now, request.account, request.limits, queued)?;
        let woken = inner.admission.add_waiter(ticket, stages.to_vec());
        inner.admission.dispatch(now, &mut inner.limit);
        Ok((ticket, woken))
    }

    /// Starts all requests that can start now; returns the wait before the next check.
    fn dispatch(&self) -> Duration {
        let now = self.0.clock.now();
        let inner = &mut *self.0.inner.lock();
        inner.admission.dispatch(now, &mut inner.limit);
        let next =
            inner.admission.queue.next_wake().map_or(MAX_RECHECK_INTERVAL, |at| at.since(now));
        next.clamp(MIN_RECHECK_INTERVAL, MAX_RECHECK_INTERVAL)
    }
}

impl QueuedRequestGuard<'_> {
    async fn outcome(&mut self) -> Option<QueueOutcome> {
        if let Ok(Some(outcome)) = self.woken.try_recv() {
            return Some(outcome);
        }
        loop {
            let wait = self.traffic.dispatch();
            match select(&mut self.woken, pin!(monoio::time::sleep(wait))).await {
                Either::Left((outcome, _)) => return outcome.ok(),
                Either::Right(_) => {}
            }
        }
    }
}

impl Drop for QueuedRequestGuard<'_> {
    fn drop(&mut self) {
        if self.completed {
            return;
        }
        let now = self.traffic.0.clock.now();
        let inner = &mut *self.traffic.0.inner.lock();
        if let Ok(Some(QueueOutcome::Granted)) = self.woken.try_recv() {
            inner.admission.queue.finish(now, self.ticket);
            inner.limit.release(self.class);
            inner.admission.dispatch(now, &mut inner.limit);
        } else {
            inner.admission.cancel(now, self.ticket);
        }
    }
}

fn late_refusal(
    now: Timestamp,
    request: &AdmissionRequest<'_>,
    stages: &[StageEstimate],
) -> AdmissionRefusal {
    AdmissionRefusal {
        wait: Duration::ZERO,
        work: expected_work(stages),
        remaining: request.deadline.since(now),
        retry_after_s: 1,
    }
}
