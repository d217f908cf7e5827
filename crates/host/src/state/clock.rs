use masticstair_core::prelude::*;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock of the process, and access to the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the microseconds since the start, plus one, so that zero can stand for "never".
    pub fn now(&self) -> Timestamp {
        Timestamp::new(1 + self.start.elapsed().as_micros() as u64)
    }

    /// Returns the wall time. Clocks of hosts differ, so it serves keys and logs only, never a decision
    /// between hosts.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::new(since.as_millis() as u64)
    }
}
