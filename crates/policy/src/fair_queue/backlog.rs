use super::{Cost, QueuedRequest, TicketId, VirtualTime};
use masticstair_core::prelude::*;
use std::collections::BTreeMap;

/// The requests of one account and class that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    /// Ordered by deadline.
    waiting: BTreeMap<(Timestamp, TicketId), QueuedRequest>,
    /// The sum of the costs in `waiting`.
    cost: u64,
    /// The finish tag of the last request that started.
    pub(crate) finish_tag: VirtualTime,
    /// The start tag under which the account is in the ready set; `None` when it is not in it.
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

    /// Removes a request that is given up.
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
