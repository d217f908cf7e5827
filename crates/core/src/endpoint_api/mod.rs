//! Messages between hosts and endpoints (JSON over HTTP/1.1).

mod announcement;
mod endpoint_state;
mod lease;
mod load_report;
mod loaded_model;
mod resume;
mod run_error;
mod run_request;
mod run_response;
mod stream_end;
mod stream_token;
mod usage;

pub use announcement::Announcement;
pub use endpoint_state::EndpointState;
pub use lease::Lease;
pub use load_report::LoadReport;
pub use loaded_model::LoadedModel;
pub use resume::Resume;
pub use run_error::RunError;
pub use run_request::RunRequest;
pub use run_response::RunResponse;
pub use stream_end::StreamEnd;
pub use stream_token::StreamToken;
pub use usage::Usage;

/// The header that names the request.
pub const REQUEST_ID_HEADER: &str = "masticstair-request-id";
/// The header that names the attempt.
pub const ATTEMPT_ID_HEADER: &str = "masticstair-attempt-id";
/// The header with the time that is left, in milliseconds.
pub const DEADLINE_HEADER: &str = "masticstair-deadline-ms";
/// The header with the priority; a lower number goes first.
pub const PRIORITY_HEADER: &str = "masticstair-priority";
/// The header with the trace context (W3C).
pub const TRACEPARENT_HEADER: &str = "traceparent";
