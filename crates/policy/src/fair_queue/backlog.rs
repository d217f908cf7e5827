use super::{Cost, QueuedRequest, TicketId, VirtualTime};
use masticstair_core::prelude::*;
use std::collections::BTreeMap;

/// Queued requests of one account and class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    /// Queued requests, ordered by deadline.
    waiting: BTreeMap<(Timestamp, TicketId), QueuedRequest>,
    /// Total cost of `waiting`.
    cost: u64,
    /// Finish tag of the last request that started.
    pub(crate) finish_tag: VirtualTime,
    /// Start tag of the account in the ready set; `None` if it is not in the set.
    pub(crate) ready_tag: Option<VirtualTime>,
}

impl Backlog {
    pub(crate) fn push(&mut self, request: QueuedRequest) {
        self.cost = self.cost.saturating_add(request.cost.get());
        self.waiting.insert((request.deadline, request.ticket), request);
    }

    /// Removes the request with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let (_, request) = self.waiting.pop_first()?;
        self.cost = self.cost.saturating_sub(request.cost.get());
        Some(request)
    }

    /// Removes a cancelled request.
    pub(crate) fn remove(
        &mut self,
        deadline: Timestamp,
        ticket: TicketId,
    ) -> Option<QueuedRequest> {
        let request = self.waiting.remove(&(deadline, ticket))?;
        self.cost = self.cost.saturating_sub(request.cost.get());
        Some(request)
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn cost(&self) -> Cost {
        Cost::new(self.cost)
    }
}
