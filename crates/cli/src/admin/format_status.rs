//! Prints the status for people.

use masticstair_core::prelude::*;
use masticstair_host::http_api::admin::{GatewayStatus, HostStatus, StatusReport};
use std::fmt::{Display, Write};
use time::OffsetDateTime;

/// Prints a status at a glance: what needs a look first.
pub fn format_status(report: &StatusReport) -> String {
    let mut out = format!("Deployment {}: ", report.deployment);
    match report.unhealthy.as_slice() {
        [] => out.push_str("healthy\n"),
        faults => {
            let _ = writeln!(out, "needs a look ({})", faults.len());
            faults.iter().for_each(|fault| {
                let _ = writeln!(out, "  {fault}");
            });
        }
    }
    push_summary(&mut out, report);
    push_hosts(&mut out, &report.hosts);
    push_voters(&mut out, report);
    push_pools(&mut out, report);
    if let Some(gateway) = &report.gateway {
        push_gateway(&mut out, gateway);
    }
    out
}

fn push_summary(out: &mut String, report: &StatusReport) {
    let confirmed = if report.confirmed { "confirmed" } else { "not confirmed by a quorum" };
    let _ = writeln!(
        out,
        "Revision {} ({confirmed}), version {}",
        report.revision,
        shown(report.version.as_ref())
    );
    let own = &report.this_host;
    let _ = writeln!(
        out,
        "Asked host {}: {} requests in flight, {} waiting, {} connections",
        own.host, own.in_flight, own.waiting, own.connections
    );
}

fn push_hosts(out: &mut String, hosts: &[HostStatus]) {
    let _ = writeln!(
        out,
        "\n{:<20} {:<16} {:>14} {:>9} state",
        "host", "data centre", "incarnation", "revision"
    );
    for line in hosts {
        let state = match (line.suspected, line.lags) {
            (true, _) => "suspected",
            (false, true) => "lags",
            (false, false) => "ok",
        };
        let _ = writeln!(
            out,
            "{:<20} {:<16} {:>14} {:>9} {state}",
            line.host.to_string(),
            line.data_centre.to_string(),
            line.incarnation.to_string(),
            shown(line.revision)
        );
    }
}

fn push_voters(out: &mut String, report: &StatusReport) {
    let _ = writeln!(
        out,
        "\nLeader {}, term {}, last entry {}, committed {}",
        shown(report.leader.as_ref()),
        shown(report.term),
        shown(report.last),
        shown(report.commit)
    );
    let _ = writeln!(
        out,
        "{:<20} {:<16} {:>14} {:>9} vote",
        "voter", "data centre", "matched", "silent"
    );
    for voter in &report.voters {
        let silent = voter.silent_ms.map(|ms| format!("{ms} ms"));
        let vote = if voter.voter { "yes" } else { "no" };
        let _ = writeln!(
            out,
            "{:<20} {:<16} {:>14} {:>9} {vote}",
            voter.host.to_string(),
            voter.data_centre.to_string(),
            shown(voter.matched),
            shown(silent)
        );
    }
}

fn push_pools(out: &mut String, report: &StatusReport) {
    let _ = writeln!(out, "\n{:<20} {:<16} {:>14} {:>9}", "pool", "kind", "endpoints", "capacity");
    for line in &report.pools {
        let _ = writeln!(
            out,
            "{:<20} {:<16} {:>14} {:>9}{}",
            line.pool.to_string(),
            line.kind.as_str(),
            line.endpoints.to_string(),
            line.capacity.to_string(),
            if line.in_bundle { "" } else { " not in the bundle" }
        );
    }
}

fn push_gateway(out: &mut String, gateway: &GatewayStatus) {
    let (answering, silent) = (&gateway.answering_hosts, &gateway.silent_hosts);
    let _ = writeln!(
        out,
        "\nGateway: catalog {}, {} of {} other control hosts answer",
        gateway.catalog,
        answering.len(),
        answering.len() + silent.len()
    );
    for host in silent {
        let _ = writeln!(out, "  no answer from {host}");
    }
    for request in &gateway.rejected_requests {
        let crashes = request.crashes.iter().map(|c| c.endpoint.to_string());
        let _ = writeln!(
            out,
            "  request {} is rejected for {}: it crashed {}",
            request.content,
            seconds(request.left),
            crashes.collect::<Vec<_>>().join(", ")
        );
    }
    for prompt in &gateway.rejected_prompts {
        let parts = prompt.parts.iter().map(|part| format!("{:x}", part.get()));
        let _ = writeln!(
            out,
            "  prompts of {} with the parts {} are rejected for {}: {} crashes",
            prompt.service,
            parts.collect::<Vec<_>>().join(", "),
            seconds(prompt.left),
            prompt.crashes
        );
    }
    for paused in &gateway.paused_endpoints {
        let _ = writeln!(
            out,
            "  endpoint {} wants nothing from this host for {}",
            paused.endpoint,
            seconds(paused.left)
        );
    }
    for leaving in &gateway.leaving_endpoints {
        let _ = writeln!(out, "  endpoint {} states that it is leaving", leaving.endpoint);
    }
    for evacuation in &gateway.evacuated_data_centres {
        let _ = writeln!(
            out,
            "  data centre {} is evacuated since {} (revision {})",
            evacuation.data_centre,
            utc(evacuation.changed_at),
            evacuation.revision
        );
    }
    for service in &gateway.unserved_services {
        let _ = writeln!(out, "  service {service} has no endpoint outside these data centres");
    }
}

fn seconds(time: Millis) -> String {
    format!("{:.1} s", time.duration().as_secs_f64())
}

/// Prints a wall clock time in UTC, to the second.
fn utc(time: WallTime) -> String {
    let seconds = i64::try_from(time.get() / 1_000).unwrap_or_default();
    let Ok(at) = OffsetDateTime::from_unix_timestamp(seconds) else { return format!("{time} ms") };
    let (year, month, day) = at.to_calendar_date();
    let (hour, minute, second) = at.to_hms();
    let month = u8::from(month);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

fn shown<T: Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".into(), |value| value.to_string())
}
