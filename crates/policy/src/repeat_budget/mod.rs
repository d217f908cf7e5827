//! How often calls of a service may be repeated, over all hosts together.

mod budget_terms;
mod repeat_window;

pub use budget_terms::BudgetTerms;

use masticstair_core::prelude::*;
use repeat_window::RepeatWindow;
use std::collections::HashMap;

/// The repeats of one host by service.
///
/// Each host stays below its part of the allowance and below the ratio of the requests that it has taken
/// itself, so that all hosts together keep the budget without a message.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    services: HashMap<ServiceName, RepeatWindow>,
}

impl RepeatBudget {
    /// Notes a request of a client.
    pub fn note_request(&mut self, now: Timestamp, terms: &BudgetTerms, service: &ServiceName) {
        self.window(service).note_request(now, terms.window);
    }

    /// Takes a repeat from the budget, when there is one left.
    pub fn take_repeat(
        &mut self,
        now: Timestamp,
        terms: &BudgetTerms,
        service: &ServiceName,
    ) -> bool {
        let window = self.window(service);
        let taken = window.repeats(now, terms.window) < terms.limit(window.requests());
        if taken {
            window.note_repeat(now, terms.window);
        }
        taken
    }

    fn window(&mut self, service: &ServiceName) -> &mut RepeatWindow {
        self.services.entry(service.clone()).or_default()
    }
}
