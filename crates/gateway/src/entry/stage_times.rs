use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// The weight of a new measurement in a mean.
const WEIGHT: f64 = 0.15;

/// How long stages and first events take, and how long stages wait for a call, by service.
#[derive(Debug, Default)]
pub struct StageTimes {
    means: RefCell<HashMap<ServiceName, Duration>>,
    /// The last word of the host that forms the calls, by priority.
    waits: RefCell<HashMap<(ServiceName, u8), (Timestamp, Duration)>>,
}

impl StageTimes {
    /// Notes how long a stage, or the time to the first event of an engine, took.
    pub fn note(&self, service: &ServiceName, took: Duration) {
        let mut means = self.means.borrow_mut();
        match means.get_mut(service) {
            Some(mean) => *mean = mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT),
            None => drop(means.insert(service.clone(), took)),
        }
    }

    /// Returns the mean, or `first` before the first measurement.
    pub fn get(&self, service: &ServiceName, first: Duration) -> Duration {
        self.means.borrow().get(service).copied().unwrap_or(first)
    }

    /// Notes how long a stage of a priority would wait.
    pub fn note_wait(&self, now: Timestamp, service: &ServiceName, priority: u8, wait: Duration) {
        self.waits.borrow_mut().insert((service.clone(), priority), (now, wait));
    }

    /// Returns how long a stage of a priority waits, as far as is known: what waited when the last word came
    /// is worked off meanwhile.
    pub fn wait(&self, now: Timestamp, service: &ServiceName, priority: u8) -> Duration {
        let waits = self.waits.borrow();
        let Some((at, wait)) = waits.get(&(service.clone(), priority)) else {
            return Duration::ZERO;
        };
        wait.saturating_sub(now.since(*at))
    }
}
