//! `masticstair bundle`.

use masticstair_core::prelude::*;
use masticstair_host::http_api::admin::{
    BUNDLES_PATH, BundleContent, BundleDiff, CommandOutcome, HistoryList, STATUS_PATH, StatusReport,
};
use masticstair_net::runtime::block_on;
use masticstair_policy::bundle_history::{BundleAction, check_content};
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use super::command::give_command;
use super::format_bundles::format_bundle_status;
use super::output::{print_report, print_text};
use super::wait::wait_for_hosts;
use super::{AdminClient, AdminError, format_diff, format_done, format_history};
use crate::options::{BundleCommand, Connection};

/// Works with bundles.
///
/// # Errors
///
/// Says what was not done, why, and what to do next.
pub fn run_bundle(command: BundleCommand) -> Result<ExitCode, AdminError> {
    match &command {
        BundleCommand::Check { file } => check_file(file)?,
        BundleCommand::Submit { connection, .. }
        | BundleCommand::SignOff { connection, .. }
        | BundleCommand::Roll { connection, .. }
        | BundleCommand::Status { connection, .. }
        | BundleCommand::Diff { connection, .. }
        | BundleCommand::History { connection, .. }
        | BundleCommand::Show { connection, .. } => {
            let connection: &Connection = connection;
            let client = AdminClient::open(connection)?;
            block_on(run_at_hosts(&client, &command)).map_err(AdminError::Runtime)??;
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_at_hosts(client: &AdminClient, command: &BundleCommand) -> Result<(), AdminError> {
    match command {
        BundleCommand::Check { file } => check_file(file)?,
        BundleCommand::Submit { change, file, .. } => {
            let content = read_bundle(file)?;
            let done = give_command(client, change, BundleAction::Submit(content)).await?;
            print_text(&format_done(&done))?;
        }
        BundleCommand::SignOff { change, sha256, .. } => {
            let done = give_command(client, change, BundleAction::SignOff(*sha256)).await?;
            print_text(&format_done(&done))?;
        }
        BundleCommand::Roll { change, wait, wait_limit, sha256, .. } => {
            let done = give_command(client, change, BundleAction::Roll(*sha256)).await?;
            print_text(&format_done(&done))?;
            if *wait {
                wait_after(client, &done, *wait_limit).await?;
            }
        }
        BundleCommand::Status { format, .. } => {
            let report: StatusReport = client.read(STATUS_PATH).await?;
            print_report(&report, *format, format_bundle_status)?;
        }
        BundleCommand::Diff { format, sha256, .. } => {
            let diff: BundleDiff = client.read(&format!("{BUNDLES_PATH}/{sha256}/diff")).await?;
            print_report(&diff, *format, format_diff)?;
        }
        BundleCommand::History { format, limit, cursor, .. } => {
            let mut target = format!("{BUNDLES_PATH}?limit={limit}");
            if let Some(cursor) = cursor {
                target.push_str(&format!("&cursor={cursor}"));
            }
            let list: HistoryList = client.read(&target).await?;
            print_report(&list, *format, format_history)?;
        }
        BundleCommand::Show { sha256, .. } => {
            let shown: BundleContent = client.read(&format!("{BUNDLES_PATH}/{sha256}")).await?;
            check_digest(&shown, sha256)?;
            print_text(&shown.content)?;
        }
    }
    Ok(())
}

async fn wait_after(
    client: &AdminClient,
    done: &CommandOutcome,
    limit: Millis,
) -> Result<(), AdminError> {
    let CommandOutcome::Rolled { revision, .. } = done else { return Ok(()) };
    let hosts = wait_for_hosts(client, *revision, limit).await?;
    Ok(print_text(&format!("All {hosts} live hosts report revision {revision}.\n"))?)
}

fn check_file(file: &Path) -> Result<(), AdminError> {
    let content = read_bundle(file)?;
    let digest = Sha256Digest::of(content.as_bytes());
    let bundle = check_content(&content)
        .map_err(|refusal| AdminError::Invalid { file: file.to_owned(), refusal })?;
    let (version, accounts) = (&bundle.version, bundle.accounts.len());
    let (pipelines, pools) = (bundle.pipelines.len(), bundle.pools.len());
    Ok(print_text(&format!(
        "Version {version} is valid: {pipelines} pipelines, {pools} pools, {accounts} accounts.\n\
         Content {digest}\n"
    ))?)
}

fn read_bundle(file: &Path) -> Result<Box<str>, AdminError> {
    let read = fs::read_to_string(file);
    Ok(read.map_err(|source| AdminError::Read { file: file.to_owned(), source })?.into())
}

fn check_digest(shown: &BundleContent, sha256: &Sha256Digest) -> Result<(), AdminError> {
    if Sha256Digest::of(shown.content.as_bytes()) == *sha256 {
        return Ok(());
    }
    Err(AdminError::Answer(format!("the content does not have the digest {sha256}").into()))
}
