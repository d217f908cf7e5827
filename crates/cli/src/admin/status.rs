//! `masticstair status`.

use masticstair_host::http_api::admin::{STATUS_PATH, StatusReport};
use masticstair_net::runtime::block_on;
use std::process::ExitCode;

use super::output::print_report;
use super::{AdminClient, AdminError, format_status};
use crate::options::StatusOptions;

/// Prints the status of a deployment.
///
/// # Errors
///
/// Fails when no host answers or the read is refused.
pub fn run_status(options: &StatusOptions) -> Result<ExitCode, AdminError> {
    let client = AdminClient::open(&options.connection)?;
    let report: StatusReport =
        block_on(async { client.read(STATUS_PATH).await }).map_err(AdminError::Runtime)??;
    print_report(&report, options.format, format_status)?;
    Ok(ExitCode::SUCCESS)
}
