use masticstair_core::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests and repeats of the last window.
#[derive(Debug, Default)]
pub(super) struct RepeatWindow {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RepeatWindow {
    pub(super) fn note_request(&mut self, now: Timestamp, window: Duration) {
        self.prune(now, window);
        self.requests.push_back(now);
    }

    pub(super) fn note_repeat(&mut self, now: Timestamp, window: Duration) {
        self.prune(now, window);
        self.repeats.push_back(now);
    }

    pub(super) fn repeats(&mut self, now: Timestamp, window: Duration) -> usize {
        self.prune(now, window);
        self.repeats.len()
    }

    pub(super) fn requests(&self) -> usize {
        self.requests.len()
    }

    fn prune(&mut self, now: Timestamp, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
