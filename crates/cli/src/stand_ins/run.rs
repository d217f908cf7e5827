use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use masticstair_net::runtime::block_on;
use masticstair_standins::CallLog;
use std::net::SocketAddr;

use super::StandInsError;
use crate::demo::{Placement, deployment, repeated_calls, start_endpoints};
use crate::options::DeploymentProfile;

/// What the stand-ins serve.
#[derive(Clone, Debug)]
pub struct StandInsOptions {
    /// The deployment whose example bundle names the pools.
    pub deployment: DeploymentProfile,
    /// The hosts, in the order of their data centres.
    pub hosts: Vec<SocketAddr>,
    /// The data centres over which the endpoints are spread.
    pub data_centres: Vec<DataCentreId>,
    /// How long they run.
    pub time: Millis,
}

/// Runs the endpoints and returns a line for each call that ran twice, and the number of recorded calls.
///
/// # Errors
///
/// Fails when an endpoint does not start.
pub fn run_stand_ins(options: &StandInsOptions) -> Result<(usize, Vec<Box<str>>), StandInsError> {
    let deployment = deployment(options.deployment);
    let bundle: Bundle = deployment.bundle.parse()?;
    let log = CallLog::default();
    let placement =
        Placement { data_centres: options.data_centres.clone(), hosts: options.hosts.clone() };
    block_on(async {
        let handles = start_endpoints(&deployment, &bundle, &placement, &log)?;
        eprintln!("{} endpoints run for {} ms", handles.len(), options.time);
        monoio::time::sleep(options.time.duration()).await;
        Ok::<_, StandInsError>(())
    })??;
    Ok((log.records().len(), repeated_calls(&log)))
}
