use masticstair_core::prelude::*;
use std::time::Duration;

/// Weight of a new sample in the mean whose minimum is tracked. A small weight averages out the
/// variance between calls.
const MEAN_GAIN: f64 = 1.0 / 32.0;

/// Relative rise of the floor per second: a lasting change is followed within minutes, a burst of a
/// few seconds is not.
const RISE_PER_SECOND: f64 = 0.01;

/// Minimum of a recent moving average, which approximates the value at low load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Floor {
    mean: f64,
    samples: f64,
    /// Zero before the first sample.
    floor: f64,
    updated: Timestamp,
}

impl Floor {
    pub(crate) const fn new() -> Self {
        Self { mean: 0.0, samples: 0.0, floor: 0.0, updated: Timestamp::new(0) }
    }

    /// Updates the mean and the floor with a sample.
    pub(crate) fn record(&mut self, now: Timestamp, sample: f64) {
        self.samples += 1.0;
        self.mean += (sample - self.mean) * MEAN_GAIN.max(1.0 / self.samples);
        let elapsed_s = now.since(self.updated).min(Duration::from_secs(1)).as_secs_f64();
        let raised = self.floor * (1.0 + RISE_PER_SECOND * elapsed_s);
        // The mean of the first samples varies too much for its minimum to be meaningful.
        let early = self.samples * MEAN_GAIN < 0.5;
        self.floor = if early { self.mean } else { raised.min(self.mean) };
        self.updated = now;
    }

    pub(crate) const fn get(&self) -> f64 {
        self.floor
    }
}
