//! Finds the parts of prompts that crash engines, from what all hosts saw.

mod call_progress;
mod crash_key;
mod crash_report;
mod entry;
mod evidence;
mod find_verdicts;
mod prompt_parts;
mod standing;
mod verdict;

pub use call_progress::CallProgress;
pub use crash_key::CrashKey;
pub use crash_report::CrashReport;
pub use evidence::Evidence;
pub use prompt_parts::PromptParts;
pub use standing::Standing;
pub use verdict::Verdict;

use entry::Entry;
use find_verdicts::find_verdicts;
use masticstair_core::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The limit on crash reports; beyond it the least telling one is removed.
const MAX_REPORTS: usize = 256;

/// The limit on parts of a service that are known to be answered; beyond it the one answered longest ago is removed.
const MAX_ANSWERED: usize = 1_024;

/// The limit on parts of one report; more shared parts of a prompt are ignored.
const MAX_PARTS: usize = 16;

/// How long a crash counts. It is longer than a verdict, so that a part that crashes engines again after the verdict
/// has ended is rejected at the first crash.
const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// How long it is remembered that a part was answered when no report has the part: longer than a report of an earlier
/// crash is on its way.
const ANSWERED_RETENTION: Duration = Duration::from_secs(60);

/// Returns a time of the clock of this process on the time line of the evidence, which begins before the process, so
/// that it holds crashes that happened before the start.
fn evidence_time(at: Timestamp) -> Timestamp {
    at.plus(CRASH_RETENTION)
}

/// Crash reports of all hosts, the parts that were answered since, and the verdicts that follow.
///
/// Evidence can be merged repeatedly and in any order. The verdicts are computed from all of it, so hosts with the same
/// evidence reach the same verdicts.
#[derive(Debug, Default)]
pub struct PoisonTable {
    reports: Vec<Entry<CrashReport>>,
    /// When an event of an answer to a part was last seen; only for parts that were in a crash report of some host.
    answered: HashMap<ServiceName, HashMap<PromptPartId, Entry<Timestamp>>>,
    verdicts: Vec<Verdict>,
    /// Sets of crashes that one request can explain by itself. They say nothing of its parts, which others share.
    explained: Vec<BTreeSet<CrashKey>>,
    /// The position of the last change.
    position: u64,
}

impl PoisonTable {
    /// Records a crash that this host saw. Returns whether the evidence changed.
    pub fn record_crash(&mut self, now: Timestamp, report: CrashReport) -> bool {
        let now = evidence_time(now);
        let report = CrashReport { at: evidence_time(report.at), ..report };
        self.add_report(now, report, true) && self.update(now)
    }

    /// Records that an engine sent an event of an answer to a prompt with these parts. Returns whether the evidence
    /// changed, which is the case only for parts under suspicion.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        parts: impl Iterator<Item = PromptPartId>,
    ) -> bool {
        if self.reports.is_empty() {
            return false;
        }
        let now = evidence_time(now);
        let mut changed = false;
        for part in parts {
            changed |= self.add_answered(service, part, now, true);
        }
        changed && self.update(now)
    }

    /// Replaces the sets of crashes that one request can explain by itself. Returns whether the verdicts changed.
    pub fn set_explained(&mut self, now: Timestamp, explained: Vec<BTreeSet<CrashKey>>) -> bool {
        self.explained = explained;
        let before = self.verdicts.clone();
        self.update(evidence_time(now));
        self.verdicts != before
    }

    /// Merges evidence of another host. Returns whether the evidence changed.
    pub fn merge(&mut self, now: Timestamp, changes: Vec<Evidence>) -> bool {
        let now = evidence_time(now);
        let mut changed = false;
        let at = |age: Millis| {
            Timestamp::new(now.get().saturating_sub(age.duration().as_micros() as u64))
        };
        for evidence in changes {
            changed |= match evidence {
                Evidence::Crash { service, crash, progress, parts, age } => {
                    let report = CrashReport { service, crash, progress, parts, at: at(age) };
                    self.add_report(now, report, false)
                }
                Evidence::Answered { service, part, age } => {
                    self.add_answered(&service, part, at(age), false)
                }
            };
        }
        changed && self.update(now)
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the evidence that changed after a position; with `own_only`, only what this host saw itself.
    pub fn changes_after(&self, now: Timestamp, position: u64, own_only: bool) -> Vec<Evidence> {
        let now = evidence_time(now);
        let age = |at: Timestamp| Millis::new(now.since(at).as_millis() as u64);
        let reports =
            self.reports.iter().filter(|e| e.position > position && (e.is_own || !own_only));
        let crashes = reports.map(|Entry { value: r, .. }| Evidence::Crash {
            service: r.service.clone(),
            crash: r.crash.clone(),
            progress: r.progress,
            parts: r.parts.clone(),
            age: age(r.at),
        });
        let mut changes: Vec<_> = crashes.collect();
        for (service, answered) in &self.answered {
            let new =
                answered.iter().filter(|(_, e)| e.position > position && (e.is_own || !own_only));
            changes.extend(new.map(|(part, e)| Evidence::Answered {
                service: service.clone(),
                part: *part,
                age: age(e.value),
            }));
        }
        changes
    }

    /// Returns what the evidence says of a request with the shared parts `parts`.
    pub fn standing(
        &self,
        now: Timestamp,
        service: &ServiceName,
        parts: &[PromptPartId],
    ) -> Standing {
        if self.reports.is_empty() {
            return Standing::Clear;
        }
        let is_covered = |of: &PromptParts| !of.is_empty() && of.iter().all(|p| parts.contains(p));
        let now = evidence_time(now);
        let verdict = self
            .verdicts
            .iter()
            .find(|v| v.service == *service && now < v.until && is_covered(&v.parts));
        if let Some(verdict) = verdict {
            return Standing::Rejected {
                verdict: verdict.clone(),
                left: Millis::new(verdict.until.since(now).as_millis() as u64),
            };
        }
        let is_suspected = self.reports.iter().any(|Entry { value: r, .. }| {
            r.service == *service
                && r.progress == CallProgress::Answering
                && is_covered(&self.open_parts(r))
        });
        if is_suspected { Standing::Suspected } else { Standing::Clear }
    }

    /// Returns the verdicts; some may have ended.
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// Returns the time until a verdict ends.
    pub fn left(&self, now: Timestamp, verdict: &Verdict) -> Duration {
        verdict.until.since(evidence_time(now))
    }

    fn add_report(&mut self, now: Timestamp, mut report: CrashReport, is_own: bool) -> bool {
        report.parts.truncate(MAX_PARTS);
        if now.since(report.at) > CRASH_RETENTION || self.open_parts(&report).is_empty() {
            return false;
        }
        let position = self.position + 1;
        match self.reports.iter_mut().find(|e| e.value.has_same_subject(&report)) {
            Some(known) if known.value.progress >= report.progress => return false,
            Some(known) => {
                known.value.progress = report.progress;
                (known.position, known.is_own) = (position, is_own);
            }
            None => self.reports.push(Entry { value: report, position, is_own }),
        }
        self.position = position;
        true
    }

    fn add_answered(
        &mut self,
        service: &ServiceName,
        part: PromptPartId,
        at: Timestamp,
        is_own: bool,
    ) -> bool {
        let known = self.answered_at(service, part).unwrap_or_default();
        let clears = self.reports.iter().any(|Entry { value: r, .. }| {
            r.service == *service && known < r.at && r.at <= at && r.parts.contains(&part)
        });
        let answered = self.answered.entry(service.clone()).or_default();
        if clears {
            self.position += 1;
            answered.insert(part, Entry { value: at, position: self.position, is_own });
        } else if !is_own && answered.len() < MAX_ANSWERED {
            // The report of the crash may still be on its way from another host.
            answered.entry(part).or_insert(Entry { value: at, position: 0, is_own });
        }
        clears
    }

    fn answered_at(&self, service: &ServiceName, part: PromptPartId) -> Option<Timestamp> {
        self.answered.get(service)?.get(&part).map(|e| e.value)
    }

    /// Returns the parts of a report that no engine has answered since.
    fn open_parts(&self, report: &CrashReport) -> PromptParts {
        let is_open = |part: &&PromptPartId| {
            self.answered_at(&report.service, **part).is_none_or(|at| at < report.at)
        };
        report.parts.iter().filter(is_open).copied().collect()
    }

    /// Removes old evidence and finds the verdicts again. Returns true.
    fn update(&mut self, now: Timestamp) -> bool {
        self.prune(now);
        let open: Vec<_> = self
            .reports
            .iter()
            .map(|e| CrashReport { parts: self.open_parts(&e.value), ..e.value.clone() })
            .collect();
        let services: BTreeSet<_> = open.iter().map(|r| r.service.clone()).collect();
        self.verdicts =
            services.iter().flat_map(|s| find_verdicts(s, &open, &self.explained)).collect();
        true
    }

    fn prune(&mut self, now: Timestamp) {
        let mut reports = std::mem::take(&mut self.reports);
        reports.retain(|e| {
            now.since(e.value.at) <= CRASH_RETENTION && !self.open_parts(&e.value).is_empty()
        });
        while reports.len() > MAX_REPORTS {
            let least = (0..reports.len()).min_by_key(|n| {
                let report: &CrashReport = &reports[*n].value;
                (report.progress, report.at)
            });
            reports.swap_remove(least.unwrap_or_default());
        }
        self.reports = reports;
        self.prune_answered(now);
    }

    fn prune_answered(&mut self, now: Timestamp) {
        let reports = &self.reports;
        for (service, answered) in &mut self.answered {
            answered.retain(|part, e| {
                let is_needed = |r: &CrashReport| {
                    r.service == *service && r.at <= e.value && r.parts.contains(part)
                };
                now.since(e.value) <= ANSWERED_RETENTION
                    || reports.iter().any(|r| is_needed(&r.value))
            });
            while answered.len() > MAX_ANSWERED {
                let oldest = answered.iter().min_by_key(|(_, e)| e.value).map(|(part, _)| *part);
                oldest.and_then(|part| answered.remove(&part));
            }
        }
        self.answered.retain(|_, answered| !answered.is_empty());
    }
}
