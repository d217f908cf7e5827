use masticstair_policy::fair_queue::{TicketId, WorkClass};

use super::Traffic;

/// The slot of a running request; released on drop.
pub(crate) struct Permit {
    traffic: Traffic,
    ticket: TicketId,
    class: WorkClass,
}

impl Permit {
    pub(super) fn new(traffic: Traffic, ticket: TicketId, class: WorkClass) -> Self {
        Self { traffic, ticket, class }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.traffic.0.clock.now();
        let inner = &mut *self.traffic.0.inner.lock();
        inner.admission.queue.finish(now, self.ticket);
        inner.limit.release(self.class);
        inner.admission.dispatch(now, &mut inner.limit);
    }
}
