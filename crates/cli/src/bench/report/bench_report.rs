use serde::Serialize;

use super::Figure;

/// Every figure of a measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BenchReport {
    /// The figures in the order of the scenes.
    pub figures: Vec<Figure>,
}
