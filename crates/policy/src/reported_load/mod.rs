//! The load that endpoints report of themselves.

mod load_reports;
#[expect(clippy::module_inception, reason = "one type per file, named after it")]
mod reported_load;
mod reported_load_error;

pub use load_reports::LoadReports;
pub use reported_load::ReportedLoad;
pub use reported_load_error::ReportedLoadError;
