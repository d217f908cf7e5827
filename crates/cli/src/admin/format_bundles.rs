//! Prints bundles for people.

use masticstair_host::http_api::admin::{
    BundleDiff, CommandOutcome, DiffSide, HistoryEntry, HistoryList, HostStatus, StatusReport,
};
use std::fmt::Write;

/// Says what a command did and what comes next.
pub fn format_done(done: &CommandOutcome) -> String {
    match done {
        CommandOutcome::Submitted { version, sha256, signer } => format!(
            "Version {version} is stored, submitted by {signer}.\nContent {sha256}\n\
             Next: masticstair bundle diff, then sign-off\n"
        ),
        CommandOutcome::SignedOff { sha256, next_revision } => format!(
            "Content {sha256}\nis signed off for revision {next_revision}.\n\
             Next: masticstair bundle roll --wait\n"
        ),
        CommandOutcome::Rolled { sha256, revision } => {
            format!("Content {sha256}\nis in force as revision {revision}.\n")
        }
    }
}

/// Prints a page of the history.
pub fn format_history(list: &HistoryList) -> String {
    let mut out = format!("Revision in force: {}\n", list.revision);
    out.push_str("revision  version               submitted by          signed off by\n");
    for entry in &list.bundles {
        push_entry(&mut out, entry);
    }
    if let Some(cursor) = &list.next_cursor {
        out.push_str(&format!("Older bundles: --cursor {cursor}\n"));
    }
    out
}

fn push_entry(out: &mut String, entry: &HistoryEntry) {
    let HistoryEntry { version, sha256, signer, signed_off_by, revision, content_kept } = entry;
    let revision = revision.map_or_else(|| "-".into(), |r| r.to_string());
    let (version, signer) = (version.to_string(), signer.to_string());
    let signed: Vec<_> = signed_off_by.iter().map(ToString::to_string).collect();
    let signed = if signed.is_empty() { "-".into() } else { signed.join(", ") };
    let kept = if *content_kept { "" } else { "  (content dropped)" };
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{revision:>8}  {version:<20}  {signer:<20}  {signed}");
    let _ = writeln!(out, "          {sha256}{kept}");
}

/// Prints the entries that differ, one on each line.
pub fn format_diff(diff: &BundleDiff) -> String {
    let mut out = format!("from {}\nto   {}\n", side(&diff.from), side(&diff.to));
    for table in &diff.tables {
        let _ = writeln!(out, "{}", table.table);
        for (mark, names) in [("+", &table.added), ("-", &table.removed), ("~", &table.changed)] {
            names.iter().for_each(|name| {
                let _ = writeln!(out, "  {mark} {name}");
            });
        }
    }
    if diff.tables.is_empty() {
        out.push_str("No table differs.\n");
    }
    out
}

fn side(side: &DiffSide) -> String {
    let DiffSide { revision, version, sha256 } = side;
    match revision {
        Some(revision) => format!("revision {revision}, version {version}, {sha256}"),
        None => format!("version {version}, {sha256}"),
    }
}

/// Prints the hosts that lag, one on each line.
pub fn format_lagging(hosts: &[&HostStatus]) -> String {
    let mut out = String::new();
    for line in hosts {
        let held = line.revision.map_or_else(|| "none".into(), |r| r.to_string());
        let suspected = if line.suspected { ", suspected to have failed" } else { "" };
        let _ =
            writeln!(out, "  {} in {} has revision {held}{suspected}", line.host, line.data_centre);
    }
    out
}

/// Prints the revision in force and the hosts that lag.
pub(super) fn format_bundle_status(report: &StatusReport) -> String {
    let known = if report.confirmed { "" } else { " (not confirmed by a quorum)" };
    let mut out = format!("Revision in force: {}{known}\n", report.revision);
    if let (Some(version), Some(sha256)) = (&report.version, &report.sha256) {
        let host = &report.this_host.host;
        let _ = writeln!(out, "Host {host} has version {version}\nContent {sha256}");
    }
    let lagging: Vec<_> = report.hosts.iter().filter(|h| h.lags).collect();
    let (all, behind) = (report.hosts.len(), lagging.len());
    if lagging.is_empty() {
        let _ = writeln!(out, "All {all} live hosts report it.");
    } else {
        let _ = writeln!(out, "{behind} of {all} live hosts lag:");
        out.push_str(&format_lagging(&lagging));
    }
    out
}
