use std::time::Duration;

/// The first delay before a data folder is opened again.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// The limit on the delay. Each attempt reads the whole folder.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// A replica that ran for this long starts from the first delay again.
const STABLE_TIME: Duration = Duration::from_secs(10);

/// The delays between the attempts to open a data folder: they double up to a limit and are jittered.
#[derive(Debug)]
pub(crate) struct RestartDelay {
    /// The next delay before its jitter; `MIN_DELAY` to `MAX_DELAY`.
    next: Duration,
}

impl Default for RestartDelay {
    fn default() -> Self {
        Self { next: MIN_DELAY }
    }
}

impl RestartDelay {
    /// Returns the next delay: between half of it and all of it, by `draw` from 0 to 1.
    pub(crate) fn next(&mut self, draw: f64) -> Duration {
        let delay = self.next.mul_f64((1.0 + draw.clamp(0.0, 1.0)) / 2.0);
        self.next = (self.next * 2).min(MAX_DELAY);
        delay
    }

    /// Records how long the replica ran before its storage failed.
    pub(crate) fn record_run(&mut self, time: Duration) {
        if time >= STABLE_TIME {
            *self = Self::default();
        }
    }
}
