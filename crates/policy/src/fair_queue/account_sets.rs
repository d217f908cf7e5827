//! Maintenance of the account sets (ready, throttled, idle) of a [`FairQueue`].

use super::{
    AccountLimits, AccountQueue, FairQueue, QueueError, QueuedRequest, VirtualTime, WorkClass,
};
use masticstair_core::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum time that an idle account is kept. Without it, an account could reset its finish tag by
/// pausing.
const IDLE_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of idle accounts removed per call. An enqueue adds at most one account, so removing
/// two lets the set shrink.
const MAX_IDLE_REMOVALS: usize = 2;

/// Maximum number of ready accounts scanned per queue view; bounds its cost.
const MAX_SCANNED_ACCOUNTS: usize = 32;

impl FairQueue {
    pub(super) fn check_bounds(
        &self,
        id: &AccountId,
        request: &QueuedRequest,
    ) -> Result<(), QueueError> {
        if self.tickets.contains_key(&request.ticket) {
            return Err(QueueError::TicketInUse(request.ticket));
        }
        let (waiting, limit) = (self.waiting, self.bounds.total);
        if waiting >= limit.get() as usize {
            return Err(QueueError::Full { waiting, limit });
        }
        let queue = self.by_id.get(id).and_then(|&position| self.accounts[position].as_ref());
        let (waiting, limit) = (queue.map_or(0, AccountQueue::waiting), self.bounds.account);
        if waiting >= limit.get() as usize {
            return Err(QueueError::AccountFull { account: id.clone(), waiting, limit });
        }
        Ok(())
    }

    /// Returns the position of an account; adds the account if it is not active.
    pub(super) fn activate(
        &mut self,
        now: Timestamp,
        id: &AccountId,
        limits: AccountLimits,
    ) -> usize {
        if let Some(&position) = self.by_id.get(id) {
            self.replace_limits(now, position, limits);
            return position;
        }
        let queue = Some(AccountQueue::new(now, id.clone(), limits));
        let position = match self.free_positions.pop() {
            Some(position) => position,
            None => {
                self.accounts.push(None);
                self.accounts.len() - 1
            }
        };
        self.accounts[position] = queue;
        self.by_id.insert(id.clone(), position);
        position
    }

    pub(super) fn replace_limits(
        &mut self,
        now: Timestamp,
        position: usize,
        limits: AccountLimits,
    ) {
        let Some(queue) = &mut self.accounts[position] else { return };
        queue.set_limits(now, limits);
    }

    /// Returns the total cost of other accounts that is served while the account at `own_position` is
    /// served `per_weight` cost per unit of its weight. Each other account counts with its weighted
    /// share, at most with its backlog. `own_position` is `None` for an account that is not active.
    pub(super) fn served_before(
        &self,
        class: WorkClass,
        own_position: Option<usize>,
        per_weight: f64,
    ) -> f64 {
        let ready = &self.ready[class.index()].by_tag;
        let cost = |position: usize| {
            let queue =
                self.accounts[position].as_ref().filter(|_| own_position != Some(position))?;
            let share = per_weight * f64::from(queue.limits.weight.get().max(1));
            Some(share.min(queue.backlogs[class.index()].cost().get() as f64))
        };
        let sum: f64 = ready
            .iter()
            .take(MAX_SCANNED_ACCOUNTS)
            .filter_map(|&(_, position)| cost(position))
            .sum();
        // Extrapolates to the accounts that were not scanned.
        sum * (ready.len() as f64 / MAX_SCANNED_ACCOUNTS as f64).max(1.0)
    }

    /// Removes an account from the ready set, so that `update_sets` inserts it with its new start tag.
    pub(super) fn remove_from_ready(&mut self, position: usize, class: WorkClass) {
        let Some(queue) = &mut self.accounts[position] else { return };
        if let Some(tag) = queue.backlogs[class.index()].ready_tag.take() {
            self.ready[class.index()].by_tag.remove(&(tag, position));
        }
    }

    /// Updates the membership of an account in the sets after its state has changed.
    pub(super) fn update_sets(&mut self, now: Timestamp, position: usize) {
        let Some(queue) = &mut self.accounts[position] else { return };
        queue.bucket.refill(now, &queue.limits);
        for class in WorkClass::ALL {
            let set = &mut self.ready[class.index()];
            let can_start = queue.can_start(class);
            let backlog = &mut queue.backlogs[class.index()];
            match (backlog.ready_tag, can_start) {
                (None, true) => {
                    let tag: VirtualTime = backlog.finish_tag.max(set.virtual_time);
                    set.by_tag.insert((tag, position));
                    backlog.ready_tag = Some(tag);
                }
                (Some(tag), false) => {
                    set.by_tag.remove(&(tag, position));
                    backlog.ready_tag = None;
                }
                (None, false) | (Some(_), true) => {}
            }
        }
        let throttled = (queue.waiting() > 0 && !queue.bucket.has_token())
            .then(|| now.plus(queue.bucket.wait_for(1.0, &queue.limits)));
        move_entry(&mut self.throttled, position, &mut queue.throttled_until, throttled);
        let retention = IDLE_RETENTION.max(queue.bucket.wait_for_full(&queue.limits));
        let idle = queue.is_idle().then(|| now.plus(retention));
        move_entry(&mut self.idle, position, &mut queue.idle_until, idle);
    }

    /// Updates the accounts whose next token is due.
    pub(super) fn wake_throttled(&mut self, now: Timestamp) {
        while let Some(&(_, position)) = self.throttled.first().filter(|&&(due, _)| due <= now) {
            let Some(queue) = &mut self.accounts[position] else { break };
            move_entry(&mut self.throttled, position, &mut queue.throttled_until, None);
            self.update_sets(now, position);
        }
    }

    /// Removes accounts whose idle retention has expired, at most `MAX_IDLE_REMOVALS`.
    pub(super) fn remove_expired_idle(&mut self, now: Timestamp) {
        for _ in 0..MAX_IDLE_REMOVALS {
            let Some(&(_, position)) = self.idle.first().filter(|&&(until, _)| until <= now) else {
                return;
            };
            self.idle.pop_first();
            if let Some(queue) = self.accounts[position].take() {
                self.by_id.remove(&queue.id);
                self.free_positions.push(position);
            }
        }
    }
}

/// Replaces the key of an account in a set ordered by time.
fn move_entry(
    set: &mut BTreeSet<(Timestamp, usize)>,
    position: usize,
    entry: &mut Option<Timestamp>,
    next: Option<Timestamp>,
) {
    if *entry == next {
        return;
    }
    if let Some(until) = *entry {
        set.remove(&(until, position));
    }
    if let Some(until) = next {
        set.insert((until, position));
    }
    *entry = next;
}
