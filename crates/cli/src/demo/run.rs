use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use masticstair_net::runtime::block_on;
use masticstair_standins::CallLog;
use monoio::time::{Instant, sleep};
use std::collections::HashMap;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use super::DemoError;
use super::deployment::{DEPLOYMENTS, Deployment};
use super::endpoints::{Placement, start_endpoints};
use super::host::DemoHost;
use super::repeated_calls::repeated_calls;
use crate::replay::{ReplayOptions, Report, replay};
use crate::trace::{TraceRecord, parse_trace};

/// How long the endpoints may take to announce themselves.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often the demo looks whether they have.
const ANNOUNCE_POLL: Duration = Duration::from_millis(20);

/// What the demo prints.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Whether progress is printed to standard error.
    pub progress: bool,
}

/// Runs both deployments at the same time and returns their report.
///
/// # Errors
///
/// Fails when a host or a stand-in does not start; a stated outcome that did not come about is in the
/// report.
pub fn run_demo(options: DemoOptions) -> Result<Report, DemoError> {
    let spawn = |deployment: Deployment| thread::spawn(move || run_deployment(deployment, options));
    let threads = DEPLOYMENTS.map(spawn);
    let mut reports = Vec::new();
    for thread in threads {
        reports.push(thread.join().map_err(|_| DemoError::Panicked)??);
    }
    let merged = reports.into_iter().reduce(Report::merged);
    merged.ok_or(DemoError::Panicked)
}

fn run_deployment(deployment: Deployment, options: DemoOptions) -> Result<Report, DemoError> {
    let bundle: Bundle = deployment.bundle.parse()?;
    let records: Rc<[TraceRecord]> = parse_trace(deployment.trace)?.into();
    let host = DemoHost::start(&deployment)?;
    let report = block_on(replay_deployment(deployment, &bundle, &host, records, options))?;
    host.stop();
    report
}

async fn replay_deployment(
    deployment: Deployment,
    bundle: &Bundle,
    host: &DemoHost,
    records: Rc<[TraceRecord]>,
    options: DemoOptions,
) -> Result<Report, DemoError> {
    host.roll_bundle(deployment.bundle).await?;
    let log = CallLog::default();
    let placement = Placement {
        data_centres: vec![host.state.cfg.data_centre.clone()],
        hosts: vec![host.workers.addr],
    };
    let handles = start_endpoints(&deployment, bundle, &placement, &log)?;
    wait_for_endpoints(host, bundle, handles.len()).await?;
    let tokens = bundle.accounts.iter();
    let tokens: HashMap<AccountId, Box<str>> =
        tokens.map(|a| (a.id.clone(), format!("example-{}", a.id).into())).collect();
    let replay_options = ReplayOptions { targets: vec![host.workers.addr], tokens };
    let total = records.len();
    let results = replay(records.clone(), replay_options, |sent, answered| {
        if options.progress {
            eprintln!("{}: {sent} of {total} sent, {answered} answered", deployment.name);
        }
    });
    let results = results.await;
    let mut report = Report::new(&records, &results);
    report.violations.extend(repeated_calls(&log));
    Ok(report)
}

pub(crate) async fn wait_for_endpoints(
    host: &DemoHost,
    bundle: &Bundle,
    expected: usize,
) -> Result<(), DemoError> {
    let started = Instant::now();
    loop {
        let pools = bundle.pools.iter();
        let known = pools.map(|p| host.state.candidates(&p.name, None).len()).sum();
        if known == expected {
            return Ok(());
        }
        let waited = started.elapsed();
        if waited > ANNOUNCE_TIMEOUT {
            let waited_ms = waited.as_millis() as u64;
            return Err(DemoError::Endpoints { known, expected, waited_ms });
        }
        sleep(ANNOUNCE_POLL).await;
    }
}
