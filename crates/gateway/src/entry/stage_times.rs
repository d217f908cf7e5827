use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// The weight of a new measurement in a mean.
const WEIGHT: f64 = 0.15;

/// How long stages and first tokens took lately, by service.
#[derive(Debug, Default)]
pub struct StageTimes(RefCell<HashMap<ServiceName, Duration>>);

impl StageTimes {
    /// Notes how long a stage, or the time to the first event of an engine, took.
    pub fn note(&self, service: &ServiceName, took: Duration) {
        let mut times = self.0.borrow_mut();
        match times.get_mut(service) {
            Some(mean) => *mean = mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT),
            None => drop(times.insert(service.clone(), took)),
        }
    }

    /// Returns the mean, or `first` before the first measurement.
    pub fn get(&self, service: &ServiceName, first: Duration) -> Duration {
        self.0.borrow().get(service).copied().unwrap_or(first)
    }
}
