use masticstair_core::prelude::*;
use masticstair_policy::smoothing::smoothed;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::messages::{PRIORITY_LEVELS, StageLoad};

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.15;

/// How long a reported wait counts in full; requests of other hosts keep arriving meanwhile.
const LOAD_VALIDITY: Duration = Duration::from_millis(500);

/// Durations of stages and first events, and waiting times of stages, by service.
#[derive(Debug, Default)]
pub struct StageTimes {
    means: RefCell<HashMap<ServiceName, Duration>>,
    /// The last load report of the host that forms the calls, and when it arrived.
    loads: RefCell<HashMap<ServiceName, (Timestamp, StageLoad)>>,
}

impl StageTimes {
    /// Records the duration of a stage, or the time to the first event of an engine.
    pub fn record(&self, service: &ServiceName, took: Duration) {
        let mut means = self.means.borrow_mut();
        match means.get_mut(service) {
            Some(mean) => *mean = smoothed(Some(*mean), took, SAMPLE_WEIGHT),
            None => drop(means.insert(service.clone(), took)),
        }
    }

    /// Returns the mean, or `default` before the first sample.
    pub fn get(&self, service: &ServiceName, default: Duration) -> Duration {
        self.means.borrow().get(service).copied().unwrap_or(default)
    }

    /// Records a load report.
    pub fn record_load(&self, now: Timestamp, load: StageLoad) {
        self.loads.borrow_mut().insert(load.service.clone(), (now, load));
    }

    /// Returns the expected wait of a stage of a priority. Without a newer report the queue is assumed to
    /// drain.
    pub fn wait(&self, now: Timestamp, service: &ServiceName, priority: u8) -> Duration {
        let loads = self.loads.borrow();
        let Some((at, load)) = loads.get(service) else { return Duration::ZERO };
        let wait = load.waits[usize::from(priority).min(PRIORITY_LEVELS - 1)].duration();
        wait.saturating_sub(now.since(*at).saturating_sub(LOAD_VALIDITY))
    }

    /// Returns the age of the last load report; zero without one.
    pub fn age(&self, now: Timestamp, service: &ServiceName) -> Duration {
        self.loads.borrow().get(service).map(|(at, _)| now.since(*at)).unwrap_or_default()
    }

    /// Returns the duration of the calls of a service; zero without a recent report.
    pub fn call(&self, now: Timestamp, service: &ServiceName) -> Duration {
        let loads = self.loads.borrow();
        let fresh = loads.get(service).filter(|(at, _)| now.since(*at) < 2 * LOAD_VALIDITY);
        fresh.map_or(Duration::ZERO, |(_, load)| load.call.duration())
    }
}
