use masticstair_core::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Times of the requests and retries within the sliding window.
#[derive(Debug, Default)]
pub(super) struct RetryWindow {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryWindow {
    pub(super) fn record_request(&mut self, now: Timestamp, window: Duration) {
        self.prune(now, window);
        self.requests.push_back(now);
    }

    pub(super) fn record_retry(&mut self, now: Timestamp, window: Duration) {
        self.prune(now, window);
        self.retries.push_back(now);
    }

    pub(super) fn retries(&mut self, now: Timestamp, window: Duration) -> usize {
        self.prune(now, window);
        self.retries.len()
    }

    /// Returns the number of requests in the window as of the latest call of another method; requests
    /// that have left the window since are included.
    pub(super) fn requests(&self) -> usize {
        self.requests.len()
    }

    fn prune(&mut self, now: Timestamp, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
