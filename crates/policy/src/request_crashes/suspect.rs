use super::crash_count::CrashCount;
use super::{CrashNotice, RequestCrash, SUSPICION_CRASHES};
use crate::poison::CrashKey;
use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::collections::BTreeSet;

/// The limit on crashes that are kept for a request; beyond it the oldest one is removed.
const MAX_CRASHES: usize = 8;

/// A crash, or the last answer, with its place in the order of changes.
#[derive(Clone, Debug)]
pub(super) struct Entry<T> {
    pub(super) value: T,
    pub(super) position: u64,
    /// Whether this host saw it itself.
    pub(super) is_own: bool,
}

/// A request during which endpoints ended.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// At most one for each end of an endpoint, and `MAX_CRASHES` in all.
    pub(super) crashes: SmallVec<[Entry<RequestCrash>; 2]>,
    /// When the last attempt was sent that an endpoint answered. Attempts that were sent before it and crashed an endpoint
    /// do not count.
    answered: Option<Entry<Timestamp>>,
}

impl Suspect {
    /// Adds a crash; returns whether it was new.
    pub(super) fn add_crash(&mut self, crash: RequestCrash, position: u64, is_own: bool) -> bool {
        if self.crashes.iter().any(|entry| entry.value.crash == crash.crash) {
            return false;
        }
        self.crashes.push(Entry { value: crash, position, is_own });
        if self.crashes.len() > MAX_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|n| self.crashes[*n].value.ended_at);
            self.crashes.remove(oldest.unwrap_or_default());
        }
        true
    }

    /// Adds an answer to an attempt that was sent at `sent_at`; returns whether crashes no longer count.
    pub(super) fn add_answer(&mut self, sent_at: Timestamp, position: u64, is_own: bool) -> bool {
        let clears = self.open().any(|crash| crash.sent_at <= sent_at);
        if clears {
            self.answered = Some(Entry { value: sent_at, position, is_own });
        }
        clears
    }

    /// Returns whether all hosts have to know of the request.
    pub(super) fn is_shared(&self) -> bool {
        self.crashes.len() >= SUSPICION_CRASHES
    }

    /// Counts the crashes for which `counts` returns true.
    pub(super) fn count_crashes(&self, counts: impl Fn(&CrashKey) -> bool) -> CrashCount {
        let crashes = self.open().filter(|crash| counts(&crash.crash));
        CrashCount::of(crashes.map(|crash| (crash.sent_at, crash.ended_at)))
    }

    /// Returns the ends of endpoints that count.
    pub(super) fn open_keys(&self) -> BTreeSet<CrashKey> {
        self.open().map(|crash| crash.crash.clone()).collect()
    }

    pub(super) fn last_crash(&self) -> Timestamp {
        self.crashes.iter().map(|entry| entry.value.ended_at).max().unwrap_or_default()
    }

    /// Returns the time of the last crash or answer.
    pub(super) fn last_change(&self) -> Timestamp {
        let answered = self.answered.as_ref().map(|entry| entry.value).unwrap_or_default();
        self.last_crash().max(answered)
    }

    /// Appends what changed after a position: what this host saw itself, and if `is_shared` also what others saw.
    pub(super) fn append_notices(
        &self,
        now: Timestamp,
        request: RequestDigest,
        position: u64,
        is_shared: bool,
        notices: &mut Vec<CrashNotice>,
    ) {
        let age = |at: Timestamp| Millis::new(now.since(at).as_millis() as u64);
        let crashes =
            self.crashes.iter().filter(|e| e.position > position && (e.is_own || is_shared));
        notices.extend(crashes.map(|Entry { value: crash, .. }| CrashNotice::Crashed {
            request,
            crash: crash.crash.clone(),
            sent_age: age(crash.sent_at),
            age: age(crash.ended_at),
        }));
        let answer =
            self.answered.iter().filter(|e| e.position > position && (e.is_own || is_shared));
        notices.extend(answer.map(|e| CrashNotice::Answered { request, age: age(e.value) }));
    }

    fn open(&self) -> impl Iterator<Item = &RequestCrash> {
        let answered = self.answered.as_ref().map(|entry| entry.value);
        let is_open = move |crash: &&RequestCrash| answered.is_none_or(|at| crash.sent_at > at);
        self.crashes.iter().map(|entry| &entry.value).filter(is_open)
    }
}
