use masticstair_core::prelude::*;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The clocks of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock. It begins above zero, so that zero can stand for "never".
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Timestamp {
        Timestamp::new(1 + self.start.elapsed().as_micros() as u64)
    }

    /// Returns the wall time; only for keys and logs, never for a decision between hosts.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::new(since.as_millis() as u64)
    }
}
