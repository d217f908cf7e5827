use futures_channel::oneshot;
use futures_util::future::{Either, select};
use masticstair_core::prelude::*;
use masticstair_policy::admission::{
    AdmissionDecision, AdmissionRefusal, QueueView, StageEstimate, admit, check_stage,
    expected_work,
};
use masticstair_policy::fair_queue::{
    AccountLimits, Cost, QueueError, QueuedRequest, TicketId, WorkClass,
};
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;

use super::gate::Verdict;
use super::{Permit, StageKey, Traffic};

/// How long a request waits at the most before the queue is looked at again.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// How long a request waits at the least, so that a clock of low resolution makes no loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// A request that asks to run.
pub struct Entry<'a> {
    /// The client account.
    pub account: &'a AccountId,
    /// The part of the account's limits that this host owns.
    pub limits: AccountLimits,
    /// The class of the pipeline.
    pub class: WorkClass,
    /// The deadline.
    pub deadline: Timestamp,
    /// The pipeline.
    pub pipeline: &'a PipelineName,
    /// Its stages.
    pub keys: &'a [StageKey],
}

/// The reason for which a request may not run.
#[derive(Clone, Debug, Error)]
pub enum EntryRefusal {
    /// It cannot meet its deadline.
    #[error(transparent)]
    Late(#[from] AdmissionRefusal),
    /// The queue is full.
    #[error(transparent)]
    Full(#[from] QueueError),
}

/// Leaves the queue when the request stops waiting, for example because its caller has gone.
struct Waiting<'a> {
    traffic: &'a Traffic,
    ticket: TicketId,
    class: WorkClass,
    woken: oneshot::Receiver<Verdict>,
    done: bool,
}

impl Traffic {
    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Refuses at once what cannot meet its deadline, and later what has become late.
    pub async fn enter(&self, entry: &Entry<'_>) -> Result<Permit, EntryRefusal> {
        let stages = self.estimate(entry.pipeline, entry.keys);
        let (ticket, woken) = self.queue_request(entry, &stages)?;
        let class = entry.class;
        let mut waiting = Waiting { traffic: self, ticket, class, woken, done: false };
        let verdict = waiting.verdict().await;
        waiting.done = true;
        match verdict {
            Some(Verdict::Granted) => Ok(Permit::new(self.clone(), ticket, class)),
            Some(Verdict::Late) | None => {
                let now = self.0.clock.now();
                let late = check_stage(now, entry.deadline, &stages, true);
                Err(late.err().unwrap_or_else(|| late_refusal(now, entry, &stages)).into())
            }
        }
    }

    fn queue_request(
        &self,
        entry: &Entry<'_>,
        stages: &[StageEstimate],
    ) -> Result<(TicketId, oneshot::Receiver<Verdict>), EntryRefusal> {
        let now = self.0.clock.now();
        let inner = &mut *self.0.inner.lock();
        let class = entry.class;
        let cost = Cost::new(expected_work(stages).as_micros() as u64);
        let queue = QueueView {
            account: inner.gate.queue.view(now, entry.account, &entry.limits, class, cost),
            limit: inner.limit.limit(class),
            in_flight: inner.limit.in_flight(class),
        };
        if let AdmissionDecision::Refuse(refusal) = admit(now, entry.deadline, &queue, stages) {
            return Err(refusal.into());
        }
        let ticket = inner.gate.next_ticket();
        let request = QueuedRequest { ticket, class, cost, deadline: entry.deadline };
        inner.gate.queue.enqueue(now, entry.account, entry.limits, request)?;
        let woken = inner.gate.wait(ticket, stages.to_vec());
        inner.gate.dispatch(now, &mut inner.limit);
        Ok((ticket, woken))
    }

    /// Starts what can start now and returns how long to wait before looking again.
    fn dispatch(&self) -> Duration {
        let now = self.0.clock.now();
        let inner = &mut *self.0.inner.lock();
        inner.gate.dispatch(now, &mut inner.limit);
        let next = inner.gate.queue.next_wake().map_or(MAX_WAIT, |at| at.since(now));
        next.clamp(MIN_WAIT, MAX_WAIT)
    }
}

impl Waiting<'_> {
    async fn verdict(&mut self) -> Option<Verdict> {
        if let Ok(Some(verdict)) = self.woken.try_recv() {
            return Some(verdict);
        }
        loop {
            let wait = self.traffic.dispatch();
            match select(&mut self.woken, pin!(monoio::time::sleep(wait))).await {
                Either::Left((verdict, _)) => return verdict.ok(),
                Either::Right(_) => {}
            }
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let now = self.traffic.0.clock.now();
        let inner = &mut *self.traffic.0.inner.lock();
        if let Ok(Some(Verdict::Granted)) = self.woken.try_recv() {
            inner.gate.queue.finish(now, self.ticket);
            inner.limit.release(self.class);
            inner.gate.dispatch(now, &mut inner.limit);
        } else {
            inner.gate.forget(now, self.ticket);
        }
    }
}

fn late_refusal(now: Timestamp, entry: &Entry<'_>, stages: &[StageEstimate]) -> AdmissionRefusal {
    AdmissionRefusal {
        wait: Duration::ZERO,
        work: expected_work(stages),
        remaining: entry.deadline.since(now),
        retry_after_s: 1,
    }
}
