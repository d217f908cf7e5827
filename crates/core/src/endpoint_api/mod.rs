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

/// The id of the client's request, equal for all of its attempts.
pub const REQUEST_ID_HEADER: &str = "masticstair-request-id";
/// The id of the attempt; unique within the request.
pub const ATTEMPT_ID_HEADER: &str = "masticstair-attempt-id";
/// The time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "masticstair-deadline-ms";
/// The priority of a call; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "masticstair-priority";
/// The trace context of a call (W3C Trace Context).
pub const TRACEPARENT_HEADER: &str = "traceparent";
