//! Until when the next event of a stream serves the client.

use masticstair_core::unit::Timestamp;
use std::time::Duration;

/// Multiple of the objective that a client waits for the next event.
const OBJECTIVES: u32 = 4;

/// Multiple of the longest on-time gap that a client waits for the next event.
const GAPS: u32 = 8;

/// The least time that a client waits for the next event.
const MIN_WAIT: Duration = Duration::from_secs(2);

/// Reserved for the events that follow the next one, where the route defines no longest gap.
const DEFAULT_REST: Duration = Duration::from_millis(500);

/// The times of a request for a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamTiming {
    /// Since when the client waits for the next event: the arrival of the request, or the event before.
    pub waits_since: Timestamp,
    /// The hard limit for the whole answer.
    pub deadline: Timestamp,
    /// The time within which the first event is on time.
    pub objective: Duration,
    /// The longest gap between events that is on time.
    pub max_event_gap: Option<Duration>,
}

impl StreamTiming {
    /// Returns when the client leaves if it receives nothing.
    pub fn client_leaves(&self) -> Timestamp {
        let gaps = self.max_event_gap.map(|gap| gap * GAPS).unwrap_or_default();
        let wait = MIN_WAIT.max(self.objective * OBJECTIVES).max(gaps);
        self.deadline.min(self.waits_since.plus(wait))
    }

    /// Returns the time up to which the next event is to come: the objective for the first event of a stream. A stream that
    /// goes on has had its first event; late events are worth more to its client than none.
    pub fn next_event_due(&self, goes_on: bool) -> Timestamp {
        let objective = self.waits_since.plus(self.objective);
        match goes_on {
            true => {
                let rest = self.max_event_gap.unwrap_or(DEFAULT_REST);
                objective.max(self.client_leaves().minus(rest))
            }
            false => objective,
        }
    }
}
