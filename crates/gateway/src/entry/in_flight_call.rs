use masticstair_core::prelude::*;
use std::rc::Rc;

use crate::Gateway;

/// Counts a call in progress at an endpoint until it is dropped.
pub(super) struct InFlightCall {
    gw: Rc<Gateway>,
    endpoint: EndpointId,
    /// Prompt tokens that the endpoint has not read yet.
    unread_tokens: u64,
}

impl InFlightCall {
    pub(super) fn new(gw: &Rc<Gateway>, endpoint: &EndpointId, unread_tokens: u64) -> Self {
        gw.with_health(endpoint, |health| {
            health.in_flight += 1;
            health.prompt_backlog += unread_tokens;
        });
        Self { gw: gw.clone(), endpoint: endpoint.clone(), unread_tokens }
    }

    /// Records that the endpoint has read the prompt.
    pub(super) fn record_prompt_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        self.gw.with_health(&self.endpoint, |health| {
            health.prompt_backlog = health.prompt_backlog.saturating_sub(unread_tokens);
        });
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.record_prompt_read();
        self.gw.with_health(&self.endpoint, |health| {
            health.in_flight = health.in_flight.saturating_sub(1);
        });
    }
}
