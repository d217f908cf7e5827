use masticstair_core::prelude::*;
use std::time::Duration;

/// A process that has not run for longer was paused: requests that reached it in that time may be older than what their
/// senders did since at another host.
const MIN_PAUSE: Duration = Duration::from_millis(1_000);

/// What was buffered during a pause is read within this time after it.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Detects that the process did not run, from the times of a task that runs at short intervals.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseWatch {
    last_run: Timestamp,
    /// The end of the last pause; zero before the first one.
    resumed_at: Timestamp,
}

impl PauseWatch {
    /// Records that the task runs.
    pub fn record_run(&mut self, now: Timestamp) {
        if self.is_pausing(now) {
            self.resumed_at = now;
        }
        self.last_run = now;
    }

    /// Returns whether a request that is read now may have waited while the process was paused.
    pub fn may_be_late(&self, now: Timestamp) -> bool {
        let is_resuming =
            self.resumed_at != Timestamp::default() && now.since(self.resumed_at) < SETTLING_TIME;
        is_resuming || self.is_pausing(now)
    }

    fn is_pausing(&self, now: Timestamp) -> bool {
        self.last_run != Timestamp::default() && now.since(self.last_run) >= MIN_PAUSE
    }
}
