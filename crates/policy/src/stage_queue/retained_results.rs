use masticstair_core::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::FreedCapacity;

/// How much longer than the endpoint a result is known here, so that a repeated answer is recognised.
const DEDUP_RETENTION: Duration = Duration::from_secs(6);

/// Results that endpoints keep for this host, and for a while those that they have forgotten.
///
/// Thousands of results are kept at a time on a large deployment, and they are looked at with every call, so
/// they are queued in the order in which they run out.
#[derive(Debug, Default)]
pub struct RetainedResults {
    results: HashMap<ResultHandle, RetainedResult>,
    /// When endpoints forget results by themselves, earliest first.
    expiring: VecDeque<(Timestamp, ResultHandle)>,
    /// When results that endpoints have forgotten are forgotten here, earliest first.
    tombstones: VecDeque<(Timestamp, ResultHandle)>,
}

#[derive(Debug)]
struct RetainedResult {
    /// What the endpoint gets back; none once it has it.
    capacity: Option<FreedCapacity>,
    is_released: bool,
}

impl RetainedResults {
    /// Returns how many results are known.
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Tells whether no result is known.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Tells whether a result was seen before.
    pub fn contains(&self, handle: &ResultHandle) -> bool {
        self.results.contains_key(handle)
    }

    /// Notes a new result, which its endpoint keeps until a time.
    pub fn insert(&mut self, handle: ResultHandle, capacity: FreedCapacity, until: Timestamp) {
        self.expiring.push_back((until, handle.clone()));
        self.results
            .insert(handle, RetainedResult { capacity: Some(capacity), is_released: false });
    }

    /// Notes that a result is given up; tells whether it had been given up before.
    pub fn release(&mut self, handle: &ResultHandle) -> bool {
        let retained = self.results.get_mut(handle);
        retained.is_some_and(|retained| std::mem::replace(&mut retained.is_released, true))
    }

    /// Notes that the endpoint has forgotten a result; returns the room that it has again, the first time.
    pub fn free(&mut self, handle: &ResultHandle) -> Option<FreedCapacity> {
        self.results.get_mut(handle)?.capacity.take()
    }

    /// Forgets results whose time is over, and returns the room of those that were not given up.
    pub fn expire(&mut self, now: Timestamp) -> Vec<FreedCapacity> {
        let mut freed = Vec::new();
        while let Some((until, handle)) = pop_due(&mut self.expiring, now) {
            freed.extend(self.free(&handle));
            self.tombstones.push_back((until.plus(DEDUP_RETENTION), handle));
        }
        while let Some((_, handle)) = pop_due(&mut self.tombstones, now) {
            self.results.remove(&handle);
        }
        freed
    }
}

fn pop_due(
    queue: &mut VecDeque<(Timestamp, ResultHandle)>,
    now: Timestamp,
) -> Option<(Timestamp, ResultHandle)> {
    queue.pop_front_if(|(until, _)| *until <= now)
}
