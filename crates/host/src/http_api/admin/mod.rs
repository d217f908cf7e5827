//! The admin interface for operators: bundles, evacuations and status.
//!
//! Commands are authenticated by the operator's signature of the command itself, reads by a signature of the
//! request, sent in headers. Every host answers; it forwards commands and confirmed reads to the leader of
//! the replicated log.

mod admin_problem;
mod bundle_content;
mod bundle_diff;
mod command;
mod command_outcome;
mod command_request;
mod content;
mod diff;
mod diff_side;
mod evacuation;
mod evacuation_request;
mod faults;
mod history;
mod history_entry;
mod history_list;
mod host_status;
mod local_host_status;
mod pool_status;
mod problems;
mod read_auth;
mod status;
mod status_report;
mod submit_request;
mod table_changes;
mod winner;

pub use admin_problem::AdminProblem;
pub use bundle_content::BundleContent;
pub use bundle_diff::BundleDiff;
pub use command_outcome::CommandOutcome;
pub use command_request::CommandRequest;
pub use diff_side::DiffSide;
pub use evacuation_request::EvacuationRequest;
pub use faults::find_faults;
pub use history_entry::HistoryEntry;
pub use history_list::HistoryList;
pub use host_status::HostStatus;
pub use local_host_status::LocalHostStatus;
pub use pool_status::PoolStatus;
pub use status_report::StatusReport;
pub use submit_request::SubmitRequest;
pub use table_changes::TableChanges;
pub use winner::Winner;

pub use masticstair_gateway::control::EvacuationOutcome;
pub use masticstair_gateway::status::GatewayStatus;

use http::Method;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use std::time::Duration;

use crate::control::ControlHandle;
use crate::state::HostState;

/// The path of the bundle commands and reads.
pub const BUNDLES_PATH: &str = "/v1/bundles";
/// The path of the orders to evacuate data centres.
pub const EVACUATIONS_PATH: &str = "/v1/evacuations";
/// The path of the status report.
pub const STATUS_PATH: &str = "/v1/status";
/// The header of a read that holds the name of the operator.
pub const SIGNER_HEADER: &str = "masticstair-signer";
/// The header of a read that holds its time in Unix milliseconds, which limits replays.
pub const TIME_HEADER: &str = "masticstair-time";
/// The header of a read that holds its signature, 128 hexadecimal digits.
pub const SIGNATURE_HEADER: &str = "masticstair-signature";

/// Wait limit of a read of the replicated state.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles a request below `/v1/bundles`, `/v1/evacuations` or `/v1/status`; returns `None` if no such path or method exists.
pub(super) async fn handle(state: &HostState, parts: &[&str], req: &Request) -> Option<Response> {
    let get = req.head.method == Method::GET;
    let post = req.head.method == Method::POST;
    let result = match parts {
        ["bundles"] if post => command::submit(state, req).await,
        ["bundles", sha256, "sign-off"] if post => command::sign_off(state, sha256, req).await,
        ["bundles", sha256, "roll"] if post => command::roll(state, sha256, req).await,
        ["bundles"] if get => history::list(state, req).await,
        ["bundles", sha256] if get => content::show(state, sha256, req).await,
        ["bundles", sha256, "diff"] if get => diff::compare(state, sha256, req).await,
        ["evacuations", data_centre] if post => evacuation::order(state, data_centre, req).await,
        ["status"] if get => status::report(state, req).await,
        _ => return None,
    };
    Some(result.unwrap_or_else(|problem| problem.response()))
}

fn control(state: &HostState) -> Result<&ControlHandle, Box<AdminProblem>> {
    let starting = || Problem::not_run(503, "starting", "this host is still starting");
    Ok(state.control.get().ok_or_else(|| starting().with_retry_after(1))?)
}

fn parse_digest(text: &str) -> Result<Sha256Digest, Box<AdminProblem>> {
    let invalid = |e: masticstair_core::unit::DigestError| {
        Problem::not_run(400, "digest-invalid", format!("{text:?}: {e}")).with_field("sha256")
    };
    Ok(text.parse().map_err(invalid)?)
}
