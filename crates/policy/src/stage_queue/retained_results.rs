use masticstair_core::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::ResultCapacity;

/// How long a handle stays known after its result expired on the endpoint, to detect repeated answers.
const DEDUP_RETENTION: Duration = Duration::from_secs(6);

/// Results that endpoints retain for this host, and tombstones of recently expired ones.
///
/// A large deployment retains thousands of results at a time and checks for expired ones on every call, so
/// handles are queued in order of expiry.
#[derive(Debug, Default)]
pub struct RetainedResults {
    results: HashMap<ResultHandle, RetainedResult>,
    /// When results expire on their endpoints, earliest first.
    expiring: VecDeque<(Timestamp, ResultHandle)>,
    /// When the handles of expired results are removed, earliest first.
    tombstones: VecDeque<(Timestamp, ResultHandle)>,
}

#[derive(Debug)]
struct RetainedResult {
    /// The memory that the result occupies; `None` once it was freed.
    capacity: Option<ResultCapacity>,
    is_released: bool,
}

impl RetainedResults {
    /// Returns the number of known handles, including those of expired results.
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Returns whether no handle is known.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Returns whether a result was added earlier and its handle is not yet removed.
    pub fn contains(&self, handle: &ResultHandle) -> bool {
        self.results.contains_key(handle)
    }

    /// Adds a result that its endpoint retains until `until`.
    pub fn insert(&mut self, handle: ResultHandle, capacity: ResultCapacity, until: Timestamp) {
        self.expiring.push_back((until, handle.clone()));
        self.results
            .insert(handle, RetainedResult { capacity: Some(capacity), is_released: false });
    }

    /// Marks a result as released; returns whether it was released before.
    pub fn release(&mut self, handle: &ResultHandle) -> bool {
        let retained = self.results.get_mut(handle);
        retained.is_some_and(|retained| std::mem::replace(&mut retained.is_released, true))
    }

    /// Marks the memory of a result as freed and returns it; `None` if it was freed before or is unknown.
    pub fn free(&mut self, handle: &ResultHandle) -> Option<ResultCapacity> {
        self.results.get_mut(handle)?.capacity.take()
    }

    /// Frees the memory of expired results and returns what was not freed before. Removes the handles of
    /// results that expired `DEDUP_RETENTION` ago.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ResultCapacity> {
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
