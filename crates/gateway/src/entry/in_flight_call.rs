use masticstair_core::prelude::*;
use std::rc::Rc;

use crate::Gateway;

/// Counts a call in progress at an endpoint until it is dropped.
pub(super) struct InFlightCall {
    gw: Rc<Gateway>,
    endpoint: EndpointId,
    /// Prompt tokens that the endpoint is expected to read and has not read yet.
    unread_tokens: TokenCount,
}

impl InFlightCall {
    pub(super) fn new(gw: &Rc<Gateway>, endpoint: &EndpointId, unread_tokens: TokenCount) -> Self {
        gw.with_health(endpoint, |health| {
            health.in_flight += 1;
            let backlog = health.prompt_backlog.get() + unread_tokens.get();
            health.prompt_backlog = TokenCount::new(backlog);
        });
        Self { gw: gw.clone(), endpoint: endpoint.clone(), unread_tokens }
    }

    /// Records that the endpoint has read the prompt.
    pub(super) fn record_prompt_read(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        self.gw.with_health(&self.endpoint, |health| {
            let backlog = health.prompt_backlog.get().saturating_sub(unread_tokens.get());
            health.prompt_backlog = TokenCount::new(backlog);
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
