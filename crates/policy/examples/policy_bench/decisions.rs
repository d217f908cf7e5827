use crate::Mode;
use crate::call::Call;
use crate::event::Event;
use crate::host::{limits, size_of};
use crate::model::Model;
use crate::outcome::Outcome;
use crate::scenario::ENGINES;
use masticstair_core::prelude::*;
use masticstair_policy::admission::{AdmissionDecision, admit, expected_work};
use masticstair_policy::fair_queue::{Cost, Dequeued, QueuedRequest, TicketId, WorkClass};
use masticstair_policy::retry::*;
use masticstair_policy::routing::{RouteRequest, choose_endpoint};
use rand::Rng;
use std::time::Duration;

/// Maximum number of attempts per stage in the baseline.
const BASELINE_ATTEMPTS: u32 = 3;

/// Calls the decision functions in the same places as the request path of a host.
impl Model<'_> {
    pub fn admit(&mut self, request: usize) {
        let (now, deadline, r) = (self.now(), self.deadline(request), &self.requests[request]);
        let host = &mut self.hosts[r.host];
        let (account, host_index) = (&self.accounts[r.account], r.host);
        let stages = host.estimates(0, r.expected_tokens);
        let cost = Cost::new(expected_work(&stages).as_micros() as u64);
        let view = host.queue_view(now, account, cost);
        let admitted =
            !matches!(admit(now, deadline, &view, &stages), AdmissionDecision::Refuse(_));
        let queued = QueuedRequest {
            ticket: TicketId::new(request as u64),
            class: WorkClass::Work,
            cost,
            deadline,
        };
        if admitted && host.queue.enqueue(now, account, limits(), queued).is_ok() {
            self.dispatch(host_index);
        } else {
            self.end(request, Outcome::Refused);
        }
    }

    /// Starts queued requests of a host while it has free slots.
    pub fn dispatch(&mut self, host: usize) {
        let now = self.now();
        while self.hosts[host].limit.try_acquire(WorkClass::Work) {
            let late = |q: &QueuedRequest| q.deadline.since(now).as_micros() < q.cost.get().into();
            match self.hosts[host].queue.dequeue(now, WorkClass::Work, late) {
                Some(Dequeued::Granted(ticket)) => self.start(ticket.get() as usize),
                Some(Dequeued::Late(ticket)) => {
                    self.end(ticket.get() as usize, Outcome::Late);
                    self.hosts[host].limit.release(WorkClass::Work);
                }
                None => {
                    self.hosts[host].limit.release(WorkClass::Work);
                    break;
                }
            }
        }
    }

    pub fn route(&mut self, request: usize, hedge: bool) -> Option<usize> {
        let now = self.now();
        let r = &self.requests[request];
        let (host, stage) = (&mut self.hosts[r.host], r.stage);
        if self.mode == Mode::Baseline {
            host.last_engine[stage] += 1;
            return Some(host.last_engine[stage] % ENGINES);
        }
        let size = size_of(stage, r.expected_tokens);
        let candidates = host.candidates(now, stage, size, &self.ids);
        let may_probe = !hedge && r.attempts == 0;
        let route = RouteRequest { tried: &r.tried, hedge, may_probe };
        let choice = choose_endpoint(now, &candidates, &route, Draw::new(self.rng.random()))?;
        if choice.probe {
            host.breakers[stage][choice.position].begin_probe(now);
        }
        Some(choice.position)
    }

    pub fn schedule_hedge(&mut self, request: usize, engine: usize) {
        let (now, r) = (self.now(), &self.requests[request]);
        let (host, size) = (&self.hosts[r.host], size_of(r.stage, r.expected_tokens));
        let pool = &host.pools[r.stage];
        let view = HedgeView {
            idempotent: true,
            sent: host.endpoints[r.stage][engine].latency(now, size, pool),
            pool: pool.latency(size),
            later_stages: expected_work(&host.estimates(r.stage + 1, r.expected_tokens)),
            deadline: self.deadline(request),
        };
        let stage = r.stage;
        if let Some(delay) = hedge_delay(now, &view) {
            self.schedule(self.now_us + delay.as_micros() as u64, Event::Hedge(request, stage));
        }
    }

    pub fn hedge(&mut self, request: usize, stage: usize) {
        let now = self.now();
        let r = &self.requests[request];
        let waits = !r.done && r.stage == stage && r.calls.len() == 1;
        if waits && self.hosts[r.host].budget.try_take(now, ExtraCall::Hedge).is_ok() {
            self.stats.hedges += 1;
            self.attempt(request, true);
        }
    }

    pub fn record_result(&mut self, call: usize, ok: bool) {
        let now = self.now();
        let Call { request, stage, engine, sent_us, engine_us, .. } = self.calls[call];
        let r = &self.requests[request];
        let host = &mut self.hosts[r.host];
        let health = host.health(stage);
        host.breakers[stage][engine].record(now, ok, &health);
        if ok {
            let (size, reported) = (size_of(stage, r.tokens), Some(EngineTime::new(engine_us)));
            let unloaded = host.endpoints[stage][engine].unloaded_latency(size, reported);
            host.limit.record_latency(now, now.since(Timestamp::new(sent_us)), unloaded);
        }
    }

    pub fn retry(&mut self, request: usize) {
        let (now, deadline, r) = (self.now(), self.deadline(request), &self.requests[request]);
        let (attempts, stage) = (r.attempts, r.stage);
        let host = &mut self.hosts[r.host];
        let view = AttemptView {
            idempotent: true,
            progress: AttemptProgress::MaybeSent,
            attempts,
            deadline,
            expected: expected_work(&host.estimates(stage, r.expected_tokens)),
        };
        let draw = Draw::new(self.rng.random());
        let after = match self.mode {
            Mode::Baseline => (attempts < BASELINE_ATTEMPTS).then_some(Duration::ZERO),
            Mode::Policy => match next_attempt(now, &mut host.budget, &view, draw) {
                RetryDecision::Retry { after } => Some(after),
                RetryDecision::Stop(_) => None,
            },
        };
        match after {
            Some(after) => {
                self.schedule(self.now_us + after.as_micros() as u64, Event::Retry(request, stage));
            }
            None => self.end(request, Outcome::Missed),
        }
    }
}
