/// Minimum weight of a new sample in the mean (alpha in RFC 6298).
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// Minimum weight of a new sample in the deviation (beta in RFC 6298).
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Initial deviation as a ratio of the first sample (RFC 6298).
const FIRST_DEVIATION_RATIO: f64 = 0.5;

/// Exponentially weighted moving average with mean absolute deviation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingMean {
    /// Always finite.
    pub(crate) mean: f64,
    /// Mean absolute deviation; never negative.
    pub(crate) deviation: f64,
    /// Effective number of samples, at most `1 / MEAN_GAIN`; decays while there are no new ones.
    pub(crate) samples: f64,
}

impl MovingMean {
    /// Creates a mean with an initial value that the first sample replaces.
    pub(crate) const fn assumed(mean: f64, deviation: f64) -> Self {
        Self { mean, deviation, samples: 0.0 }
    }

    /// Updates the mean and deviation with a sample. The first samples have more weight than later
    /// ones.
    pub(crate) fn record(&mut self, sample: f64) {
        if self.samples <= 0.0 {
            *self = Self { mean: sample, deviation: sample * FIRST_DEVIATION_RATIO, samples: 1.0 };
            return;
        }
        let early = 1.0 / (self.samples + 1.0);
        let error = sample - self.mean;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN.max(early);
        self.mean += error * MEAN_GAIN.max(early);
        self.samples = (self.samples + 1.0).min(1.0 / MEAN_GAIN);
    }

    /// Returns the weighted average with `fallback`; `confidence` in `[0, 1]` is the weight of this
    /// mean.
    pub(crate) fn blended(&self, fallback: &Self, confidence: f64) -> Self {
        // Without samples, the fallback is used entirely.
        let weight = if self.samples <= 0.0 { 0.0 } else { confidence };
        let mix = |a: f64, b: f64| b + (a - b) * weight;
        Self {
            mean: mix(self.mean, fallback.mean),
            deviation: mix(self.deviation, fallback.deviation),
            samples: self.samples * confidence,
        }
    }
}
