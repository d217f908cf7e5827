use masticstair_core::prelude::*;
use masticstair_policy::smoothing::smoothed;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::messages::{PRIORITY_LEVELS, StageLoad};

/// The weight of a new measurement in a mean.
const SAMPLE_WEIGHT: f64 = 0.15;

/// How long a word of a wait holds; requests of others come meanwhile as well.
const LOAD_VALIDITY: Duration = Duration::from_millis(500);

/// How long stages and first events take, and how long stages wait for a call, by service.
#[derive(Debug, Default)]
pub struct StageTimes {
    means: RefCell<HashMap<ServiceName, Duration>>,
    /// The last word of the host that forms the calls, and when it came.
    loads: RefCell<HashMap<ServiceName, (Timestamp, StageLoad)>>,
}

impl StageTimes {
    /// Notes how long a stage, or the time to the first event of an engine, took.
    pub fn record(&self, service: &ServiceName, took: Duration) {
        let mut means = self.means.borrow_mut();
        match means.get_mut(service) {
            Some(mean) => *mean = smoothed(Some(*mean), took, SAMPLE_WEIGHT),
            None => drop(means.insert(service.clone(), took)),
        }
    }

    /// Returns the mean, or `default` before the first measurement.
    pub fn get(&self, service: &ServiceName, default: Duration) -> Duration {
        self.means.borrow().get(service).copied().unwrap_or(default)
    }

    /// Notes how busy a service is.
    pub fn record_load(&self, now: Timestamp, load: StageLoad) {
        self.loads.borrow_mut().insert(load.service.clone(), (now, load));
    }

    /// Returns how long a stage of a priority waits, as far as is known: without another word what waited is
    /// worked off.
    pub fn wait(&self, now: Timestamp, service: &ServiceName, priority: u8) -> Duration {
        let loads = self.loads.borrow();
        let Some((at, load)) = loads.get(service) else { return Duration::ZERO };
        let wait = load.waits[usize::from(priority).min(PRIORITY_LEVELS - 1)].duration();
        wait.saturating_sub(now.since(*at).saturating_sub(LOAD_VALIDITY))
    }

    /// Returns how long ago the last word of a service came.
    pub fn age(&self, now: Timestamp, service: &ServiceName) -> Duration {
        self.loads.borrow().get(service).map(|(at, _)| now.since(*at)).unwrap_or_default()
    }

    /// Returns how long the calls of a service take, as far as is known.
    pub fn call(&self, now: Timestamp, service: &ServiceName) -> Duration {
        let loads = self.loads.borrow();
        let fresh = loads.get(service).filter(|(at, _)| now.since(*at) < 2 * LOAD_VALIDITY);
        fresh.map_or(Duration::ZERO, |(_, load)| load.call.duration())
    }
}
