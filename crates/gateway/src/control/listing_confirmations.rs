use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

/// A subscriber that has asked for nothing for longer is out of touch, and not waited for.
const CONTACT_TIME: Duration = Duration::from_secs(2);

/// How much of the listing of a control host each subscriber has confirmed.
#[derive(Debug, Default)]
pub(crate) struct ListingConfirmations {
    /// Only those that asked within `CONTACT_TIME`, as of the last request.
    subscribers: HashMap<HostId, Confirmed>,
}

#[derive(Debug)]
struct Confirmed {
    position: u64,
    asked_at: Timestamp,
}

impl ListingConfirmations {
    /// Records that a subscriber has the listing up to a position; 0 if it needs a complete one.
    pub(crate) fn record(&mut self, now: Timestamp, subscriber: &HostId, position: u64) {
        self.subscribers.retain(|_, known| now.since(known.asked_at) < CONTACT_TIME);
        self.subscribers.insert(subscriber.clone(), Confirmed { position, asked_at: now });
    }

    /// Returns the number of subscribers in touch that lack the listing up to a position.
    pub(crate) fn count_behind(&self, now: Timestamp, position: u64) -> usize {
        let is_behind = |known: &&Confirmed| {
            known.position < position && now.since(known.asked_at) < CONTACT_TIME
        };
        self.subscribers.values().filter(is_behind).count()
    }
}
