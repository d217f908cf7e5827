use super::{
    AccountLimits, AccountQueue, Cost, Dequeued, QueueBounds, QueueError, QueuedRequest, ReadySet,
    Ticket, TicketId, WorkClass,
};
use crate::admission::AccountView;
use masticstair_core::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// Fair queue of a host. Every operation takes time logarithmic in the number of active accounts and
/// queued requests.
#[derive(Clone, Debug)]
pub struct FairQueue {
    pub(super) bounds: QueueBounds,
    /// Active accounts; the position of an account is stable while it is active.
    pub(super) accounts: Vec<Option<AccountQueue>>,
    /// Unused positions in `accounts`.
    pub(super) free_positions: Vec<usize>,
    pub(super) by_id: HashMap<AccountId, usize>,
    pub(super) tickets: HashMap<TicketId, Ticket>,
    /// Number of queued requests.
    pub(super) waiting: usize,
    /// Accounts that may start a request, by class.
    pub(super) ready: [ReadySet; 2],
    /// Accounts with queued requests but without a token, by the time of their next token.
    pub(super) throttled: BTreeSet<(Timestamp, usize)>,
    /// Accounts without requests, by the time of their removal.
    pub(super) idle: BTreeSet<(Timestamp, usize)>,
}

impl FairQueue {
    /// Creates an empty queue.
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

    /// Queues a request. `limits` replaces the previous limits of the account.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        limits: AccountLimits,
        request: QueuedRequest,
    ) -> Result<(), QueueError> {
        self.remove_expired_idle(now);
        self.check_bounds(account, &request)?;
        let position = self.activate(now, account, limits);
        self.tickets.insert(request.ticket, Ticket { position, request, running: false });
        self.waiting += 1;
        if let Some(queue) = &mut self.accounts[position] {
            queue.backlogs[request.class.index()].push(request);
        }
        self.update_sets(now, position);
        Ok(())
    }

    /// Removes the next request of a class. The caller must have a free host slot for it.
    ///
    /// `is_late` returns whether, by current estimates, a request can no longer meet its deadline.
    pub fn dequeue(
        &mut self,
        now: Timestamp,
        class: WorkClass,
        is_late: impl FnOnce(&QueuedRequest) -> bool,
    ) -> Option<Dequeued> {
        self.wake_throttled(now);
        let &(tag, position) = self.ready[class.index()].by_tag.first()?;
        let queue = self.accounts.get_mut(position)?.as_mut()?;
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
        self.remove_from_ready(position, class);
        let ticket = request.ticket;
        if late {
            self.tickets.remove(&ticket);
        } else if let Some(entry) = self.tickets.get_mut(&ticket) {
            entry.running = true;
        }
        self.update_sets(now, position);
        Some(if late { Dequeued::Late(ticket) } else { Dequeued::Granted(ticket) })
    }

    /// Records the end of a running request; an unknown ticket is ignored.
    pub fn finish(&mut self, now: Timestamp, ticket: TicketId) {
        if !self.tickets.get(&ticket).is_some_and(|t| t.running) {
            return;
        }
        let Some(Ticket { position, .. }) = self.tickets.remove(&ticket) else { return };
        if let Some(queue) = &mut self.accounts[position] {
            queue.running = queue.running.saturating_sub(1);
        }
        self.update_sets(now, position);
    }

    /// Cancels a queued request; returns false if it is not in the queue.
    pub fn cancel(&mut self, now: Timestamp, ticket: TicketId) -> bool {
        if self.tickets.get(&ticket).is_none_or(|t| t.running) {
            return false;
        }
        let Some(Ticket { position, request, .. }) = self.tickets.remove(&ticket) else {
            return false;
        };
        if let Some(queue) = &mut self.accounts[position] {
            queue.backlogs[request.class.index()].remove(request.deadline, ticket);
        }
        self.waiting -= 1;
        self.update_sets(now, position);
        true
    }

    /// Replaces the limits of an account, for example after a loan; an account that is not active is
    /// ignored.
    pub fn set_limits(&mut self, now: Timestamp, account: &AccountId, limits: AccountLimits) {
        if let Some(&position) = self.by_id.get(account) {
            self.replace_limits(now, position, limits);
            self.update_sets(now, position);
        }
    }

    /// Returns the queue state from the point of view of a new request of `account` with this class
    /// and cost.
    pub fn view(
        &self,
        now: Timestamp,
        account: &AccountId,
        limits: &AccountLimits,
        class: WorkClass,
        cost: Cost,
    ) -> AccountView {
        let position = self.by_id.get(account).copied();
        let fresh = AccountQueue::new(now, account.clone(), *limits);
        let queue =
            position.and_then(|position| self.accounts[position].as_ref()).unwrap_or(&fresh);
        let waiting = queue.backlogs[class.index()].cost();
        let mut bucket = queue.bucket;
        bucket.refill(now, limits);
        let wanted = (waiting.get().saturating_add(cost.get())) as f64;
        let per_weight = wanted / f64::from(limits.weight.get().max(1));
        let others = self.served_before(class, position, per_weight);
        AccountView {
            waiting_cost: waiting,
            cost_ahead: Cost::new(waiting.get().saturating_add(others as u64)),
            running: Slots::new(queue.running),
            concurrency: Slots::new(limits.concurrency_for(class)),
            rate_wait: bucket.wait_for(queue.waiting() as f64 + 1.0, limits),
        }
    }

    /// Returns the earliest time at which a throttled account gets a token; `None` if no account is
    /// throttled.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.throttled.first().map(|&(due, _)| due)
    }

    /// Returns the number of queued requests of all accounts.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of accounts kept in memory, including recently idle ones.
    pub fn active_accounts(&self) -> usize {
        self.by_id.len()
    }
}
