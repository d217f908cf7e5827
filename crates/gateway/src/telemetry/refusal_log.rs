use masticstair_core::prelude::*;
use masticstair_net::memory::{MemoryCounts, RefusalCause};
use slog::{Logger, warn};
use std::time::Duration;

/// The least time between two lines, so that a crowd makes one line a burst.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Logs that clients were refused to stay within the memory or the descriptors of the machine.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    /// The refusals that have been logged, in the order of `RefusalCause::ALL`.
    logged: [u64; RefusalCause::ALL.len()],
    /// When the last line was written; `None` before the first.
    logged_at: Option<Timestamp>,
}

impl RefusalLog {
    /// Writes a line if there were refusals since the last one.
    pub(crate) fn record(&mut self, log: &Logger, now: Timestamp, counts: &MemoryCounts) {
        let is_due = self.logged_at.is_none_or(|at| now.since(at) >= MIN_INTERVAL);
        if counts.refusals == self.logged || !is_due {
            return;
        }
        let mut detail = String::new();
        for (cause, (total, logged)) in
            RefusalCause::ALL.iter().zip(counts.refusals.iter().zip(self.logged))
        {
            if *total > logged {
                detail.push_str(&format!("{} {}, ", cause.name(), total - logged));
            }
        }
        warn!(log, "clients refused to stay within the machine"; "held_bytes" => counts.held.get(),
            "bound_bytes" => counts.bound.get(), "refusals" => detail.trim_end_matches(", "));
        (self.logged, self.logged_at) = (counts.refusals, Some(now));
    }
}
