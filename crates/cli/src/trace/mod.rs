//! Recorded traces: JSON lines, one request each, with the outcome that is stated for it.

mod expectation;
mod generate;
mod profile;
mod record;
mod trace_error;

pub use expectation::Expectation;
pub use generate::{TraceOptions, generate_trace};
pub use profile::{PipelineUse, TraceProfile, council_profile, trepiserv_profile};
pub use record::TraceRecord;
pub use trace_error::TraceError;

/// Reads a trace.
///
/// # Errors
///
/// Names the line that is no record.
pub fn parse_trace(text: &str) -> Result<Vec<TraceRecord>, TraceError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(i, line)| {
            serde_json::from_str(line)
                .map_err(|e| TraceError { line: i + 1, message: e.to_string().into() })
        })
        .collect()
}
