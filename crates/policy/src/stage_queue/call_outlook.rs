use masticstair_core::prelude::*;
use std::time::Duration;

/// What an endpoint that is free could run now, and what is expected to arrive for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallOutlook {
    /// The waiting items that may run on the endpoint.
    pub items: usize,
    /// The maximum number of items in a call.
    pub max_items: usize,
    /// Until when all these items can wait for a fuller call.
    pub wait_until: Timestamp,
    /// The items a second that are expected for the endpoint and those that share its work.
    pub arrivals: f64,
    /// The number of endpoints that share the work, including this one.
    pub endpoints: usize,
    /// The duration of a call with `max_items` items.
    pub full_call_time: Duration,
}
