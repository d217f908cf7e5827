//! Retry budget per service, enforced across all hosts without coordination.

mod retry_window;
mod service_retry_limits;

pub use service_retry_limits::ServiceRetryLimits;

use masticstair_core::prelude::*;
use retry_window::RetryWindow;
use std::collections::HashMap;

/// Retries of one host by service.
///
/// Each host uses at most its share of the allowance plus the ratio of the requests that it received
/// itself, so all hosts together stay within the budget without exchanging messages.
#[derive(Debug, Default)]
pub struct ServiceRetryBudget {
    services: HashMap<ServiceName, RetryWindow>,
}

impl ServiceRetryBudget {
    /// Records a client request for a service.
    pub fn record_request(
        &mut self,
        now: Timestamp,
        limits: &ServiceRetryLimits,
        service: &ServiceName,
    ) {
        self.window(service).record_request(now, limits.window);
    }

    /// Takes a retry from the budget; returns false if the budget is exhausted.
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
