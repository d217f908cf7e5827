use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use crate::messages::PRIORITIES;

/// The weight of a new measurement in a mean.
const WEIGHT: f64 = 0.15;

/// How long a word of a wait holds; requests of others come meanwhile as well.
const FRESH: Duration = Duration::from_millis(500);

/// How long stages and first events take, and how long stages wait for a call, by service.
#[derive(Debug, Default)]
pub struct StageTimes {
    means: RefCell<HashMap<ServiceName, Duration>>,
    /// The last word of the host that forms the calls.
    waits: RefCell<HashMap<ServiceName, (Timestamp, [Millis; PRIORITIES])>>,
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

    /// Notes how long stages would wait, by priority.
    pub fn note_waits(&self, now: Timestamp, service: &ServiceName, waits: [Millis; PRIORITIES]) {
        self.waits.borrow_mut().insert(service.clone(), (now, waits));
    }

    /// Returns how long a stage of a priority waits, as far as is known: without another word what waited is
    /// worked off.
    pub fn wait(&self, now: Timestamp, service: &ServiceName, priority: u8) -> Duration {
        let waits = self.waits.borrow();
        let Some((at, waits)) = waits.get(service) else { return Duration::ZERO };
        let wait = waits[usize::from(priority).min(PRIORITIES - 1)].duration();
        wait.saturating_sub(now.since(*at).saturating_sub(FRESH))
    }
}
