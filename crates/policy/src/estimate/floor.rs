use masticstair_core::prelude::*;
use std::time::Duration;

/// The weight of a new sample in the mean whose lowest value is kept. It is small, so that variance
/// between calls does not count as load.
const MEAN_GAIN: f64 = 1.0 / 32.0;

/// The floor rises by this part in a second, so that a lasting change is accepted within minutes but
/// a burst of some seconds is not.
const RISE_PER_SECOND: f64 = 0.01;

/// The lowest recent mean of a quantity, as its value at low load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floor {
    mean: f64,
    samples: f64,
    /// The floor; zero before the first sample.
    floor: f64,
    updated: Timestamp,
}

impl Floor {
    pub(crate) const fn new() -> Self {
        Self { mean: 0.0, samples: 0.0, floor: 0.0, updated: Timestamp::new(0) }
    }

    /// Takes up a sample.
    pub(crate) fn record(&mut self, now: Timestamp, sample: f64) {
        self.samples += 1.0;
        self.mean += (sample - self.mean) * MEAN_GAIN.max(1.0 / self.samples);
        let elapsed_s = now.since(self.updated).min(Duration::from_secs(1)).as_secs_f64();
        let raised = self.floor * (1.0 + RISE_PER_SECOND * elapsed_s);
        // The mean of the first samples varies too much to be a floor.
        let early = self.samples * MEAN_GAIN < 0.5;
        self.floor = if early { self.mean } else { raised.min(self.mean) };
        self.updated = now;
    }

    pub(crate) const fn get(&self) -> f64 {
        self.floor
    }
}
