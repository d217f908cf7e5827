use masticstair_core::prelude::*;
use std::time::Duration;

/// The length of the window over which the share of failures counts.
const WINDOW: Duration = Duration::from_secs(10);

/// The parts of the window; the oldest part is dropped as a whole.
const PARTS: usize = 5;

/// Successes and failures in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// Successes and failures by part of the window.
    parts: [(u32, u32); PARTS],
    /// The number of the current part since the start of the clock.
    current: u64,
}

impl Window {
    /// Counts the end of a call.
    pub(crate) fn record(&mut self, now: Timestamp, success: bool) {
        let at = self.advance(now);
        let (successes, failures) = &mut self.parts[at];
        if success { *successes += 1 } else { *failures += 1 }
    }

    /// Returns the successes and failures in the window.
    pub(crate) fn totals(&self) -> (u32, u32) {
        self.parts.iter().fold((0, 0), |sum, part| (sum.0 + part.0, sum.1 + part.1))
    }

    /// Forgets every call.
    pub(crate) fn clear(&mut self) {
        self.parts = Default::default();
    }

    /// Empties the parts that have left the window and returns the current part.
    fn advance(&mut self, now: Timestamp) -> usize {
        let part = now.get() / (WINDOW.as_micros() as u64 / PARTS as u64);
        let passed = part.saturating_sub(self.current).min(PARTS as u64);
        for i in 0..passed {
            self.parts[((part - i) % PARTS as u64) as usize] = (0, 0);
        }
        self.current = self.current.max(part);
        (self.current % PARTS as u64) as usize
    }
}
