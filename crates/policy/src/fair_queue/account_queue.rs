use super::{AccountLimits, Backlog, TokenBucket, WorkClass};
use masticstair_core::prelude::*;

/// Queue state of an active account.
#[derive(Clone, Debug)]
pub(crate) struct AccountQueue {
    pub(crate) id: AccountId,
    pub(crate) limits: AccountLimits,
    pub(crate) bucket: TokenBucket,
    /// Running requests of both classes.
    pub(crate) running: u32,
    /// Queued requests, by class.
    pub(crate) backlogs: [Backlog; 2],
    /// Key of the account in `FairQueue::throttled`, if it is in the set.
    pub(crate) throttled_until: Option<Timestamp>,
    /// Key of the account in `FairQueue::idle`, if it is in the set.
    pub(crate) idle_until: Option<Timestamp>,
}

impl AccountQueue {
    pub(crate) fn new(now: Timestamp, id: AccountId, limits: AccountLimits) -> Self {
        let bucket = TokenBucket::new(now, &limits);
        let backlogs = Default::default();
        Self { id, limits, bucket, running: 0, backlogs, throttled_until: None, idle_until: None }
    }

    /// Replaces the limits, after refilling the bucket at the old rate up to `now`.
    pub(crate) fn set_limits(&mut self, now: Timestamp, limits: AccountLimits) {
        self.bucket.refill(now, &self.limits);
        self.limits = limits;
    }

    pub(crate) fn waiting(&self) -> usize {
        self.backlogs.iter().map(Backlog::len).sum()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting() == 0
    }

    /// Returns whether a request of `class` may start.
    pub(crate) fn can_start(&self, class: WorkClass) -> bool {
        !self.backlogs[class.index()].is_empty()
            && self.running < self.limits.concurrency_for(class)
            && self.bucket.has_token()
    }
}
