//! How often calls of a service may be repeated, over all hosts together.

mod retry_window;
mod service_retry_limits;

pub use service_retry_limits::ServiceRetryLimits;

use masticstair_core::prelude::*;
use retry_window::RetryWindow;
use std::collections::HashMap;

/// The repeats of one host by service.
///
/// Each host stays below its part of the allowance and below the ratio of the requests that it has taken
/// itself, so that all hosts together keep the budget without a message.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    services: HashMap<ServiceName, RetryWindow>,
}

impl ServiceRetryBudget {
    /// Notes a request of a client.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        limits: &ServiceRetryLimits,
        service: &ServiceName,
    ) {
        self.window(service).record_request(now, limits.window);
    }

    /// Takes a repeat from the budget, when there is one left.
    pub fn try_take_retry(
        &mut self,
        now: Timestamp,
        limits: &ServiceRetryLimits,
        service: &ServiceName,
    ) -> bool {
        let window = self.window(service);
        let allowed = window.retries(now, limits.window) < limits.limit(window.requests());
        if allowed {
            window.record_retry(now, limits.window);
        }
        allowed
    }

    fn window(&mut self, service: &ServiceName) -> &mut RetryWindow {
        self.services.entry(service.clone()).or_default()
    }
}
