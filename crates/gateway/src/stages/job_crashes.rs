use masticstair_core::prelude::*;
use masticstair_policy::poison::CrashKey;
use masticstair_policy::request_crashes::CrashCount;
use smallvec::SmallVec;

use crate::messages::StageCrash;

/// The ends of endpoints during calls with pieces of a job.
#[derive(Debug, Default)]
pub(super) struct JobCrashes(SmallVec<[JobCrash; 2]>);

/// The end of an endpoint during a call.
#[derive(Debug)]
struct JobCrash {
    crash: CrashKey,
    sent_at: Timestamp,
    /// Not before `sent_at`.
    ended_at: Timestamp,
}

impl JobCrashes {
    /// Adds the end of an endpoint during a call that was sent at `sent_at`, unless it is known.
    pub(super) fn add(&mut self, crash: &CrashKey, sent_at: Timestamp, ended_at: Timestamp) {
        if self.0.iter().all(|known| known.crash != *crash) {
            self.0.push(JobCrash { crash: crash.clone(), sent_at, ended_at });
        }
    }

    pub(super) fn count(&self) -> CrashCount {
        CrashCount::of(self.0.iter().map(|crash| (crash.sent_at, crash.ended_at)))
    }

    /// Returns the crashes for the host that requested the stage.
    pub(super) fn to_messages(&self, now: Timestamp) -> Vec<StageCrash> {
        let age = |at: Timestamp| Millis::new(now.since(at).as_millis() as u64);
        let message = |crash: &JobCrash| StageCrash {
            crash: crash.crash.clone(),
            sent_age: age(crash.sent_at),
            age: age(crash.ended_at),
        };
        self.0.iter().map(message).collect()
    }
}
