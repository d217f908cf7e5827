//! Finds requests that crash each endpoint that runs them, from what all hosts saw.
//!
//! A request is identified by its content. It is rejected after three crashes that follow each other, or five if it is sent
//! to several endpoints at once, unless an endpoint has answered it since. Requests that were in progress beside it are told
//! apart in two ways: an endpoint answers them later, and the crashes that a rejected request explains do not count for
//! others.

mod crash_count;
mod crash_notice;
mod request_crash;
mod request_standing;
mod request_verdict;
mod suspect;

pub use crash_count::CrashCount;
pub use crash_notice::CrashNotice;
pub use request_crash::RequestCrash;
pub use request_standing::RequestStanding;
pub use request_verdict::RequestVerdict;

use crate::poison::CrashKey;
use crash_count::VERDICT_CRASHES;
use masticstair_core::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use suspect::Suspect;

/// The crashes from which other hosts have to know of a request, and from which it is sent to one endpoint only. With
/// fewer, nearly all requests are those that were in progress when an endpoint ended for another reason.
const SUSPICION_CRASHES: usize = 2;

/// How long a request is rejected after the last crash.
const VERDICT_DURATION: Duration = Duration::from_secs(600);

/// How long a crash counts. After the end of a verdict one more crash renews it within this time.
const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// The limit on requests in the table. Beyond it, the one with the fewest and then the oldest crashes is removed.
const MAX_REQUESTS: usize = 1_024;

/// Returns a time of the clock of this process on the time line of the table, which begins before the process, so that it
/// holds crashes that happened before the start.
fn table_time(at: Timestamp) -> Timestamp {
    at.plus(CRASH_RETENTION)
}

/// The requests during which endpoints ended, as far as all hosts together know.
///
/// Notices can be merged repeatedly and in any order, except that an answer to a request without known crashes is not kept.
/// The verdicts are computed from all notices, so hosts with the same ones reach the same verdicts.
#[derive(Debug, Default)]
pub struct RequestCrashes {
    suspects: HashMap<RequestDigest, Suspect>,
    /// None has ended at the time of the last change.
    verdicts: Vec<RequestVerdict>,
    /// The position of the last change.
    position: u64,
    /// The position of the last change that other hosts have to know.
    shared_position: u64,
}

impl RequestCrashes {
    /// Records that an endpoint ended during a request of this host. Returns whether that was new.
    pub fn record_crash(&mut self, now: Timestamp, crash: RequestCrash) -> bool {
        let crash = RequestCrash {
            sent_at: table_time(crash.sent_at),
            ended_at: table_time(crash.ended_at),
            ..crash
        };
        let now = table_time(now);
        self.add_crash(now, crash, true) && self.update(now)
    }

    /// Records that an endpoint answered a request completely; it was sent at `sent_at`. Returns whether that clears it.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        request: RequestDigest,
        sent_at: Timestamp,
    ) -> bool {
        self.add_answer(request, table_time(sent_at), true) && self.update(table_time(now))
    }

    /// Merges notices of another host. Returns whether there was something new.
    pub fn merge(&mut self, now: Timestamp, notices: Vec<CrashNotice>) -> bool {
        let now = table_time(now);
        let mut changed = false;
        let at = |age: Millis| {
            Timestamp::new(now.get().saturating_sub(age.duration().as_micros() as u64))
        };
        for notice in notices {
            changed |= match notice {
                CrashNotice::Crashed { request, crash, sent_age, age } => {
                    let (sent_at, ended_at) = (at(sent_age), at(age));
                    self.add_crash(now, RequestCrash { request, crash, sent_at, ended_at }, false)
                }
                CrashNotice::Answered { request, age } => self.add_answer(request, at(age), false),
            };
        }
        changed && self.update(now)
    }

    /// Returns whether no endpoint has ended during a request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the position of the last change; 0 before the first one.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the position of the last change that other hosts than the one that saw it have to know.
    pub fn shared_position(&self) -> u64 {
        self.shared_position
    }

    /// Returns what changed after a position: all that this host saw itself, and without `own_only` what other hosts saw
    /// of requests with `SUSPICION_CRASHES` or more.
    pub fn changes_after(&self, now: Timestamp, position: u64, own_only: bool) -> Vec<CrashNotice> {
        let now = table_time(now);
        let mut notices = Vec::new();
        for (request, suspect) in &self.suspects {
            let is_shared = !own_only && suspect.is_shared();
            suspect.append_notices(now, *request, position, is_shared, &mut notices);
        }
        notices
    }

    /// Returns what follows from the crashes for a request.
    pub fn standing(&self, now: Timestamp, request: RequestDigest) -> RequestStanding {
        let now = table_time(now);
        let verdict = self.verdicts.iter().find(|v| v.request == request && now < v.until);
        if let Some(verdict) = verdict {
            let left = Millis::new(verdict.until.since(now).as_millis() as u64);
            return RequestStanding::Rejected { verdict: *verdict, left };
        }
        let suspect = self.suspects.get(&request);
        let count = suspect.map(|s| s.count_crashes(|_| true)).unwrap_or_default();
        match count.is_suspicious() {
            true => RequestStanding::Suspected,
            false => RequestStanding::Clear,
        }
    }

    /// Returns the verdicts, as of the last change.
    pub fn verdicts(&self) -> &[RequestVerdict] {
        &self.verdicts
    }

    /// Returns the time until a verdict ends.
    pub fn left(&self, now: Timestamp, verdict: &RequestVerdict) -> Duration {
        verdict.until.since(table_time(now))
    }

    /// Returns the ends of endpoints that count for a request.
    pub fn crashes_of(&self, request: RequestDigest) -> BTreeSet<CrashKey> {
        self.suspects.get(&request).map(Suspect::open_keys).unwrap_or_default()
    }

    /// Returns the ends of endpoints that one request can explain, for each request with `SUSPICION_CRASHES` or more.
    pub fn explained(&self) -> Vec<BTreeSet<CrashKey>> {
        let suspects = self.suspects.values().filter(|suspect| suspect.is_shared());
        suspects.map(Suspect::open_keys).filter(|keys| keys.len() >= SUSPICION_CRASHES).collect()
    }

    /// Removes what no longer counts. Returns whether a verdict has ended.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let now = table_time(now);
        let has_ended = self.verdicts.iter().any(|v| now >= v.until);
        let is_old = |s: &Suspect| now.since(s.last_change()) > CRASH_RETENTION;
        if has_ended || self.suspects.values().any(is_old) {
            self.update(now);
        }
        has_ended
    }

    fn add_crash(&mut self, now: Timestamp, crash: RequestCrash, is_own: bool) -> bool {
        if now.since(crash.ended_at) > CRASH_RETENTION {
            return false;
        }
        let position = self.position + 1;
        let suspect = self.suspects.entry(crash.request).or_default();
        if !suspect.add_crash(crash, position, is_own) {
            return false;
        }
        self.position = position;
        if suspect.crashes.len() == SUSPICION_CRASHES {
            // Other hosts have not been told of the crash before.
            suspect.crashes.iter_mut().for_each(|entry| entry.position = position);
        }
        if suspect.is_shared() {
            self.shared_position = position;
        }
        true
    }

    fn add_answer(&mut self, request: RequestDigest, sent_at: Timestamp, is_own: bool) -> bool {
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        let position = self.position + 1;
        let clears = suspect.add_answer(sent_at, position, is_own);
        if clears {
            self.position = position;
        }
        if clears && suspect.is_shared() {
            self.shared_position = position;
        }
        clears
    }

    /// Removes old crashes and finds the verdicts again. Returns true.
    fn update(&mut self, now: Timestamp) -> bool {
        self.suspects.retain(|_, suspect| now.since(suspect.last_change()) <= CRASH_RETENTION);
        while self.suspects.len() > MAX_REQUESTS {
            let least =
                self.suspects.iter().min_by_key(|(_, s)| (s.crashes.len(), s.last_change()));
            let Some(least) = least.map(|(request, _)| *request) else { break };
            self.suspects.remove(&least);
        }
        self.verdicts = self.find_verdicts();
        self.verdicts.retain(|verdict| now < verdict.until);
        true
    }

    /// Each crash has one cause: the request with the most crashes explains all of them, and the next one is sought
    /// among the others.
    fn find_verdicts(&self) -> Vec<RequestVerdict> {
        let mut verdicts = Vec::new();
        let mut explained: BTreeSet<CrashKey> = BTreeSet::new();
        // Nearly all requests have one crash, so they are passed over without counting.
        let candidates: Vec<_> =
            self.suspects.iter().filter(|(_, s)| s.crashes.len() >= VERDICT_CRASHES).collect();
        loop {
            let is_unexplained = |key: &CrashKey| !explained.contains(key);
            let counts = candidates
                .iter()
                .map(|(request, s)| (s.count_crashes(is_unexplained), **request, s));
            // Hosts with the same notices have to choose the same one.
            let most = counts.max_by_key(|(count, request, _)| (*count, *request));
            let Some((count, request, suspect)) = most else { return verdicts };
            if !count.is_verdict() {
                return verdicts;
            }
            let until = suspect.last_crash().plus(VERDICT_DURATION);
            verdicts.push(RequestVerdict { request, crashes: count.all, until });
            explained.extend(suspect.open_keys());
        }
    }
}
