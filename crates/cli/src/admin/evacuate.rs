//! `masticstair evacuate`.

use bytes::Bytes;
use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use masticstair_host::http_api::admin::{
    EVACUATIONS_PATH, EvacuationOutcome, EvacuationRequest, STATUS_PATH, StatusReport,
};
use masticstair_net::runtime::block_on;
use masticstair_policy::bundle_history::CommandSignature;
use masticstair_policy::evacuations::SignedOrder;
use std::fmt::Write;
use std::process::ExitCode;
use std::time::SystemTime;

use super::command::{Failed, send_until_known};
use super::output::print_report;
use super::{AdminClient, AdminError};
use crate::options::EvacuateOptions;

/// The number of bytes of a signature.
const SIGNATURE_BYTES: usize = 64;

/// Orders the evacuation of a data centre, or its end.
///
/// # Errors
///
/// Says what was not done, why, and what to do next.
pub fn run_evacuate(options: &EvacuateOptions) -> Result<ExitCode, AdminError> {
    let client = AdminClient::open(&options.connection)?;
    let outcome = block_on(give_order(&client, options)).map_err(AdminError::Runtime)??;
    print_report(&outcome, options.format, format_evacuation)?;
    Ok(ExitCode::SUCCESS)
}

async fn give_order(
    client: &AdminClient,
    options: &EvacuateOptions,
) -> Result<EvacuationOutcome, AdminError> {
    let after = match options.after {
        Some(revision) => revision,
        None => read_revision(client).await?,
    };
    let (data_centre, action) = (&options.data_centre, options.action);
    eprintln!("{action} the evacuation of {data_centre} after revision {after}");
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let mut order = SignedOrder {
        data_centre: data_centre.clone(),
        action,
        after,
        signer: client.key.signer.clone(),
        time: WallTime::new(since.as_millis() as u64),
        signature: CommandSignature::from_bytes([0; SIGNATURE_BYTES]),
    };
    order.signature = client.key.sign(&order.text(&client.deployment));
    let SignedOrder { signer, time, signature, .. } = order;
    let signature = signature.to_string().into();
    let request = EvacuationRequest { action, after, signer, time, signature };
    // Every member has a JSON form.
    let body = Bytes::from(serde_json::to_vec(&request).unwrap_or_default());
    let path = format!("{EVACUATIONS_PATH}/{data_centre}");
    let outcome = send_until_known(client, &path, &body, "the order").await;
    outcome.map_err(|e| match e {
        Failed::Unknown(reason) => AdminError::OrderUnknown { after, reason },
        Failed::Known(e) => *e,
    })
}

async fn read_revision(client: &AdminClient) -> Result<EvacuationRevision, AdminError> {
    let report: StatusReport = client.read(STATUS_PATH).await?;
    let without = || AdminError::Answer("the host has no gateway; name another --host".into());
    Ok(report.gateway.ok_or_else(without)?.evacuation_revision)
}

/// Prints the outcome of an order for people.
pub fn format_evacuation(outcome: &EvacuationOutcome) -> String {
    let EvacuationOutcome { data_centre, revision, .. } = outcome;
    let state = if outcome.is_evacuated { "is evacuated" } else { "is not evacuated" };
    let since = if outcome.changed { "since this order" } else { "already" };
    let mut out = format!("Data centre {data_centre} {state} {since} (revision {revision}).\n");
    if !outcome.is_known {
        let _ = writeln!(out, "No host and no endpoint there is known: check the name.");
    }
    if outcome.unconfirmed > 0 {
        let _ = writeln!(out, "{} hosts have not confirmed it yet.", outcome.unconfirmed);
    }
    for service in &outcome.unserved {
        let _ = writeln!(out, "Service {service} has no endpoint elsewhere: requests are refused.");
    }
    out
}
