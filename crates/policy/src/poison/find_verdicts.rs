use masticstair_core::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CallProgress, CrashKey, CrashReport, PromptParts, Verdict};

/// Crashes that are less than this apart may have one cause other than a prompt, so they count once.
const MIN_SPACING: Duration = Duration::from_millis(250);

/// The weight of a crash for the parts of a request that the engine was answering. Few requests are in that state
/// at any time, so an innocent one rarely is when an engine ends.
const ANSWERING_WEIGHT: u32 = 2;

/// The weight of a crash for the parts of a request that the engine had queued.
const QUEUED_WEIGHT: u32 = 1;

/// The weight from which parts are found to crash engines: two crashes while their requests were being answered.
const VERDICT_WEIGHT: u32 = 2 * ANSWERING_WEIGHT;

/// How long a verdict lasts after the last crash.
const VERDICT_DURATION: Duration = Duration::from_secs(600);

/// Finds the parts of prompts that crash the engines of a service.
///
/// Each crash has one cause. Of the parts with enough weight, the one in the fewest requests explains every crash that
/// it was present at, so that a part that many requests share is found only if nothing rarer explains the crashes. The
/// next verdict is sought among the other crashes. `reports` have no parts that an engine has answered since. Crashes that
/// are all in one set of `explained` are no reason for a verdict.
pub(super) fn find_verdicts(
    service: &ServiceName,
    reports: &[CrashReport],
    explained: &[BTreeSet<CrashKey>],
) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    let mut unexplained: Vec<&CrashReport> =
        reports.iter().filter(|r| r.service == *service && !r.parts.is_empty()).collect();
    while let Some(verdict) = find_verdict(service, &unexplained, explained) {
        let has_parts = |r: &&CrashReport| verdict.parts.iter().all(|p| r.parts.contains(p));
        let crashes: BTreeSet<CrashKey> =
            unexplained.iter().filter(|r| has_parts(r)).map(|r| r.crash.clone()).collect();
        unexplained.retain(|r| !crashes.contains(&r.crash));
        verdicts.push(verdict);
    }
    verdicts
}

fn find_verdict(
    service: &ServiceName,
    reports: &[&CrashReport],
    explained: &[BTreeSet<CrashKey>],
) -> Option<Verdict> {
    let mut by_part: BTreeMap<PromptPartId, Vec<&CrashReport>> = BTreeMap::new();
    for report in reports {
        for part in &report.parts {
            by_part.entry(*part).or_default().push(report);
        }
    }
    let with_suspect = by_part
        .values()
        .filter(|with_part| {
            // Most parts are in too few reports, which is known without grouping them by crash.
            ANSWERING_WEIGHT as usize * with_part.len() >= VERDICT_WEIGHT as usize
                && weight(with_part) >= VERDICT_WEIGHT
                && !explained.iter().any(|set| with_part.iter().all(|r| set.contains(&r.crash)))
        })
        .min_by_key(|with_part| with_part.len())?;
    let crashes: BTreeSet<&CrashKey> = with_suspect.iter().map(|r| &r.crash).collect();
    let last = with_suspect.iter().map(|r| r.at).max()?;
    let (first, others) = with_suspect.split_first()?;
    let is_common = |part: &&PromptPartId| others.iter().all(|r| r.parts.contains(part));
    let mut common: PromptParts = first.parts.iter().filter(is_common).copied().collect();
    common.sort_unstable();
    Some(Verdict {
        service: service.clone(),
        parts: common,
        crashes: crashes.len(),
        until: last.plus(VERDICT_DURATION),
    })
}

/// Returns the weight of the crashes of reports that have a part in common.
fn weight(reports: &[&CrashReport]) -> u32 {
    let mut crashes: BTreeMap<&CrashKey, (Timestamp, CallProgress)> = BTreeMap::new();
    for report in reports {
        let (at, progress) = crashes.entry(&report.crash).or_insert((report.at, report.progress));
        *at = report.at.min(*at);
        *progress = report.progress.max(*progress);
    }
    let mut by_time: Vec<_> = crashes.into_values().collect();
    by_time.sort_unstable();
    let mut total = 0;
    let mut group: Option<(Timestamp, u32)> = None;
    for (at, progress) in by_time {
        let weight = match progress {
            CallProgress::Answering => ANSWERING_WEIGHT,
            CallProgress::Queued => QUEUED_WEIGHT,
        };
        group = match group {
            Some((start, heaviest)) if at.since(start) < MIN_SPACING => {
                total += weight.saturating_sub(heaviest);
                Some((start, heaviest.max(weight)))
            }
            _ => {
                total += weight;
                Some((at, weight))
            }
        };
    }
    total
}
