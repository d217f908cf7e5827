//! Derives the `unhealthy` sentences of a status report.

use masticstair_core::prelude::*;

use super::{HostStatus, StatusReport};
use crate::control::VoterProgress;

/// The status asks every host for a report and an answer takes up to 300 ms, so an older report means that
/// the host didn't answer.
const MAX_REPORT_AGE: Millis = Millis::new(2_000);
/// A voter replies to the leader every 50 ms, and an election starts after 600 ms without contact.
const MAX_VOTER_SILENCE: Millis = Millis::new(1_000);
/// Lag behind the leader that a voter may show for a moment under load.
const MAX_VOTER_LAG_ENTRIES: u64 = 1_000;

/// Returns one sentence for each fault that a report shows; none for a healthy deployment.
pub fn find_faults(report: &StatusReport) -> Vec<Box<str>> {
    let mut faults = local_faults(report);
    faults.extend(gateway_faults(report));
    faults.extend(log_faults(report));
    faults.extend(report.hosts.iter().filter_map(|host| host_fault(report, host)));
    let empty = report.pools.iter().filter(|p| p.in_bundle && p.endpoints.get() == 0);
    faults.extend(empty.map(|p| format!("Pool {} has no endpoint.", p.pool)));
    let unconfirmed = report.pools.iter().filter(|p| p.unconfirmed.get() > 0);
    faults.extend(unconfirmed.map(|p| {
        let (some, all) = (p.unconfirmed, p.endpoints);
        format!("{some} of {all} endpoints of pool {} are observed by suspected hosts.", p.pool)
    }));
    faults.into_iter().map(Into::into).collect()
}

fn local_faults(report: &StatusReport) -> Vec<String> {
    let local = &report.this_host;
    let host = &local.host;
    let mut faults = Vec::new();
    if let Some(reason) = &local.not_serving {
        faults.push(format!("Host {host} serves no requests: {reason}."));
    }
    if local.leaving {
        faults.push(format!("Host {host} is shutting down."));
    }
    if let Some(fault) = &local.storage_fault {
        faults.push(format!("The replica of host {host} stopped acknowledging: {fault}."));
    }
    faults
}

fn gateway_faults(report: &StatusReport) -> Vec<String> {
    let Some(gateway) = &report.gateway else { return Vec::new() };
    let host = &report.this_host.host;
    let mut faults = Vec::new();
    if gateway.answering_hosts.is_empty() && !gateway.silent_hosts.is_empty() {
        let catalog = gateway.catalog;
        faults.push(format!(
            "No other control host answers host {host}: it serves by catalog {catalog}, which may be old."
        ));
    }
    match gateway.rejected_requests.len() {
        0 => {}
        1 => faults.push("1 request is rejected because it crashes endpoints.".to_owned()),
        some => {
            faults.push(format!("{some} requests are rejected because they crash endpoints."));
        }
    }
    let prompts = &gateway.rejected_prompts;
    faults.extend(prompts.iter().map(|p| {
        format!("Prompts are rejected because they crash engines of service {}.", p.service)
    }));
    faults
}

fn log_faults(report: &StatusReport) -> Vec<String> {
    let mut faults = Vec::new();
    if !report.confirmed {
        let revision = report.revision;
        faults.push(format!(
            "No quorum of voters answered: commands and run-once calls are refused; revision \
             {revision} is the newest one known to host {}.",
            report.this_host.host
        ));
    }
    if report.voters_changing {
        faults.push("A change of the voters is in progress.".into());
    }
    let last = report.last.map_or(0, |last| last.get());
    faults.extend(report.voters.iter().filter_map(|voter| voter_fault(report, voter, last)));
    faults
}

fn voter_fault(report: &StatusReport, voter: &VoterProgress, last: u64) -> Option<String> {
    let host = &voter.host;
    let kind = if voter.voter { "Voter" } else { "Replica" };
    if let Some(silent) = voter.silent_ms.filter(|silent| *silent > MAX_VOTER_SILENCE) {
        return Some(format!("{kind} {host} has not answered the leader for {silent} ms."));
    }
    if !report.hosts.iter().any(|status| status.host == *host) {
        return Some(format!("{kind} {host} is not among the live hosts."));
    }
    let behind = last.saturating_sub(voter.matched?.get());
    (behind > MAX_VOTER_LAG_ENTRIES)
        .then(|| format!("{kind} {host} is {behind} entries behind the leader."))
}

fn host_fault(report: &StatusReport, status: &HostStatus) -> Option<String> {
    let host = &status.host;
    if status.suspected {
        return Some(format!("Host {host} is suspected to have failed: it answers no probes."));
    }
    let (Some(revision), Some(age)) = (status.revision, status.reported_ms) else {
        return Some(format!("Host {host} has not reported its revision."));
    };
    if status.lags {
        let in_force = report.revision;
        return Some(format!(
            "Host {host} reports revision {revision}, but {in_force} is in force."
        ));
    }
    (age > MAX_REPORT_AGE).then(|| format!("Host {host} reported last {age} ms ago."))
}
