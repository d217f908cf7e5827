//! Open-loop replay of a trace against hosts, checked against the stated outcomes.

mod balancer;
mod call_result;
mod check;
mod client;
mod pipeline_summary;
mod report;
mod run;
mod stream_check;
mod table;

pub use call_result::{CallOutcome, CallResult};
pub(crate) use check::attained;
pub use check::{Violation, check_results};
pub use pipeline_summary::{PipelineSummary, StageSummary};
pub use report::Report;
pub use run::{ReplayOptions, replay};
pub use table::format_table;
