/// The least weight of a new sample for the mean; RFC 6298 uses the same 1/8.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// The least weight of a new sample for the deviation; RFC 6298 uses the same 1/4.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The deviation that is assumed after the first sample, as a part of it (RFC 6298).
const FIRST_DEVIATION_RATIO: f64 = 0.5;

/// An exponentially weighted mean with its mean absolute deviation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingMean {
    /// The mean; finite.
    pub(crate) mean: f64,
    /// The mean absolute deviation; not negative.
    pub(crate) deviation: f64,
    /// The number of samples that the mean stands for; falls while there are no new ones.
    pub(crate) samples: f64,
}

impl MovingMean {
    /// Starts with an assumed value that the first sample replaces.
    pub(crate) const fn assumed(mean: f64, deviation: f64) -> Self {
        Self { mean, deviation, samples: 0.0 }
    }

    /// Takes up a sample. The first samples count for more than the later ones.
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

    /// Mixes in `fallback`; `confidence` in `[0, 1]` is the weight of this mean.
    pub(crate) fn blended(&self, fallback: &Self, confidence: f64) -> Self {
        // An endpoint without samples takes over the fallback completely.
        let weight = if self.samples <= 0.0 { 0.0 } else { confidence };
        let mix = |a: f64, b: f64| b + (a - b) * weight;
        Self {
            mean: mix(self.mean, fallback.mean),
            deviation: mix(self.deviation, fallback.deviation),
            samples: self.samples * confidence,
        }
    }
}
