use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

/// A subscriber that has asked for nothing for longer is out of touch, and not waited for.
const CONTACT_TIME: Duration = Duration::from_secs(2);

/// How much of the listing of a control host, and which evacuations, each subscriber has confirmed.
#[derive(Debug, Default)]
pub(crate) struct ListingConfirmations {
    /// Only those that asked within `CONTACT_TIME`, as of the last request.
    subscribers: HashMap<HostId, Confirmed>,
}

#[derive(Debug)]
struct Confirmed {
    position: u64,
    /// None if the subscriber's build knows no evacuations.
    evacuations: Option<EvacuationRevision>,
    asked_at: Timestamp,
}

impl ListingConfirmations {
    /// Records that a subscriber has the listing up to a position, 0 if it needs a complete one, and the evacuations up to a
    /// revision.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        subscriber: &HostId,
        position: u64,
        evacuations: Option<EvacuationRevision>,
    ) {
        self.subscribers.retain(|_, known| now.since(known.asked_at) < CONTACT_TIME);
        self.subscribers
            .insert(subscriber.clone(), Confirmed { position, evacuations, asked_at: now });
    }

    /// Returns the number of subscribers in touch that lack the listing up to a position.
    pub(crate) fn count_behind(&self, now: Timestamp, position: u64) -> usize {
        let is_behind = |known: &&Confirmed| {
            known.position < position && now.since(known.asked_at) < CONTACT_TIME
        };
        self.subscribers.values().filter(is_behind).count()
    }

    /// Returns the number of subscribers in touch that do not obey the evacuations up to a revision yet.
    pub(crate) fn count_behind_evacuations(
        &self,
        now: Timestamp,
        revision: EvacuationRevision,
    ) -> usize {
        let is_behind = |known: &&Confirmed| {
            known.evacuations.is_some_and(|confirmed| confirmed < revision)
                && now.since(known.asked_at) < CONTACT_TIME
        };
        self.subscribers.values().filter(is_behind).count()
    }
}
