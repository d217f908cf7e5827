//! Attainment under faults.

use crate::bench::{BenchError, Figure};

/// Measures attainment under faults.
pub fn measure_faults(_seed: u64) -> Result<Vec<Figure>, BenchError> {
    Ok(Vec::new())
}
