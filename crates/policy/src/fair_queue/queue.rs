use super::{
    AccountLimits, AccountQueue, Cost, Dequeued, QueueBounds, QueueError, QueuedRequest, ReadySet,
    Ticket, TicketId, WorkClass,
};
use crate::admission::AccountView;
use masticstair_core::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// The fair queue of a host. Every operation takes time logarithmic in the active accounts and their
/// waiting requests.
#[derive(Clone, Debug)]
pub struct FairQueue {
    pub(super) bounds: QueueBounds,
    /// Active accounts; a position is stable while its account is active.
    pub(super) accounts: Vec<Option<AccountQueue>>,
    /// Free positions in `accounts`.
    pub(super) free_positions: Vec<usize>,
    pub(super) by_id: HashMap<AccountId, usize>,
    pub(super) tickets: HashMap<TicketId, Ticket>,
    /// Requests that wait.
    pub(super) waiting: usize,
    /// By class.
    pub(super) ready: [ReadySet; 2],
    /// Accounts without a token, by the time of their next one.
    pub(super) throttled: BTreeSet<(Timestamp, usize)>,
    /// Accounts without requests, by the time at which they are forgotten.
    pub(super) idle: BTreeSet<(Timestamp, usize)>,
}

impl FairQueue {
    /// Starts empty.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            accounts: Vec::new(),
            free_positions: Vec::new(),
            by_id: HashMap::new(),
            tickets: HashMap::new(),
            waiting: 0,
            ready: Default::default(),
            throttled: BTreeSet::new(),
            idle: BTreeSet::new(),
        }
    }

    /// Queues a request. `limits` replace those that the account had before.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        limits: AccountLimits,
        request: QueuedRequest,
    ) -> Result<(), QueueError> {
        self.remove_expired_idle(now);
        self.check_bounds(account, &request)?;
        let at = self.activate(now, account, limits);
        self.tickets.insert(request.ticket, Ticket { account: at, request, running: false });
        self.waiting += 1;
        if let Some(queue) = &mut self.accounts[at] {
            queue.backlogs[request.class.index()].push(request);
        }
        self.update_sets(now, at);
        Ok(())
    }

    /// Takes the next request of a class. The caller has a free host slot for it.
    ///
    /// `is_late` tells with current estimates whether a request can no longer meet its deadline.
    pub fn dequeue(
        &mut self,
        now: Timestamp,
        class: WorkClass,
        is_late: impl FnOnce(&QueuedRequest) -> bool,
    ) -> Option<Dequeued> {
        self.wake_throttled(now);
        let &(tag, at) = self.ready[class.index()].by_tag.first()?;
        let queue = self.accounts.get_mut(at)?.as_mut()?;
        let request = queue.backlogs[class.index()].pop()?;
        let late = is_late(&request);
        if !late {
            let backlog = &mut queue.backlogs[class.index()];
            backlog.finish_tag = tag.after(request.cost, queue.limits.weight);
            queue.running += 1;
            queue.bucket.take();
            self.ready[class.index()].virtual_time = tag;
        }
        self.waiting -= 1;
        self.remove_from_ready(at, class);
        let ticket = request.ticket;
        if late {
            self.tickets.remove(&ticket);
        } else if let Some(entry) = self.tickets.get_mut(&ticket) {
            entry.running = true;
        }
        self.update_sets(now, at);
        Some(if late { Dequeued::Late(ticket) } else { Dequeued::Granted(ticket) })
    }

    /// Notes the end of a request that had started; an unknown ticket is ignored.
    pub fn finish(&mut self, now: Timestamp, ticket: TicketId) {
        if !self.tickets.get(&ticket).is_some_and(|t| t.running) {
            return;
        }
        let Some(Ticket { account, .. }) = self.tickets.remove(&ticket) else { return };
        if let Some(queue) = &mut self.accounts[account] {
            queue.running = queue.running.saturating_sub(1);
        }
        self.update_sets(now, account);
    }

    /// Removes a request that waits; false when it does not wait (any more).
    pub fn cancel(&mut self, now: Timestamp, ticket: TicketId) -> bool {
        if self.tickets.get(&ticket).is_none_or(|t| t.running) {
            return false;
        }
        let Some(Ticket { account, request, .. }) = self.tickets.remove(&ticket) else {
            return false;
        };
        if let Some(queue) = &mut self.accounts[account] {
            queue.backlogs[request.class.index()].remove(request.deadline, ticket);
        }
        self.waiting -= 1;
        self.update_sets(now, account);
        true
    }

    /// Replaces the limits of an account, for example after a loan; an idle account is ignored.
    pub fn set_limits(&mut self, now: Timestamp, account: &AccountId, limits: AccountLimits) {
        if let Some(&at) = self.by_id.get(account) {
            self.replace_limits(now, at, limits);
            self.update_sets(now, at);
        }
    }

    /// Describes the queue as one more request of `account`, with this class and cost, would find it.
    pub fn view(
        &self,
        now: Timestamp,
        account: &AccountId,
        limits: &AccountLimits,
        class: WorkClass,
        cost: Cost,
    ) -> AccountView {
        let at = self.by_id.get(account).copied();
        let fresh = AccountQueue::new(now, account.clone(), *limits);
        let queue = at.and_then(|at| self.accounts[at].as_ref()).unwrap_or(&fresh);
        let waiting = queue.backlogs[class.index()].cost();
        let mut bucket = queue.bucket;
        bucket.refill(now, limits);
        let wanted = (waiting.get().saturating_add(cost.get())) as f64;
        let per_weight = wanted / f64::from(limits.weight.get().max(1));
        let others = self.served_before(class, at, per_weight);
        AccountView {
            waiting_cost: waiting,
            cost_ahead: Cost::new(waiting.get().saturating_add(others as u64)),
            running: Slots::new(queue.running),
            concurrency: Slots::new(limits.concurrency_for(class)),
            rate_wait: bucket.wait_for(queue.waiting() as f64 + 1.0, limits),
        }
    }

    /// Returns the time at which a throttled account gets its next token, to set a timer.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.throttled.first().map(|&(at, _)| at)
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of accounts that take memory.
    pub fn active_accounts(&self) -> usize {
        self.by_id.len()
    }
}
