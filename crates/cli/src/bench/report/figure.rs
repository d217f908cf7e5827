use serde::Serialize;
use smallvec::{SmallVec, smallvec};

use super::{Target, Verdict};
use crate::bench::SceneName;

/// One measured figure, with its value in each run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The scene.
    pub scene: &'static str,
    /// What was measured; unique in the report.
    pub name: Box<str>,
    /// The unit.
    pub unit: &'static str,
    /// The stated target.
    pub target: Target,
    /// The value of each run.
    pub runs: SmallVec<[f64; 3]>,
    /// The load average of the machine before or after the runs, whichever is higher.
    pub load_average: f64,
}

impl Figure {
    /// Makes a figure of one run.
    pub fn new(
        scene: SceneName,
        name: impl Into<Box<str>>,
        unit: &'static str,
        target: Target,
        value: f64,
    ) -> Self {
        let name = name.into();
        Self {
            scene: scene.as_str(),
            name,
            unit,
            target,
            runs: smallvec![value],
            load_average: 0.0,
        }
    }

    /// Returns the lowest and the highest value.
    pub fn range(&self) -> (f64, f64) {
        let fold = |f: fn(f64, f64) -> f64| self.runs.iter().copied().reduce(f).unwrap_or_default();
        (fold(f64::min), fold(f64::max))
    }

    /// Tells in how many runs the target was met.
    pub fn verdict(&self) -> Verdict {
        let met = self.runs.iter().filter(|v| self.target.is_met(**v)).count();
        match self.target {
            Target::None => Verdict::NoTarget,
            _ if met == self.runs.len() => Verdict::Met,
            _ if met == 0 => Verdict::Missed,
            _ => Verdict::Mixed { met, runs: self.runs.len() },
        }
    }
}
