use masticstair_core::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::FreedRoom;

/// How much longer than the endpoint a result is known here, so that a repeated answer is recognised.
const MEMORY: Duration = Duration::from_secs(6);

/// Results that endpoints keep for this host, and for a while those that they have forgotten.
///
/// Thousands of results are kept at a time on a large deployment, and they are looked at with every call, so
/// they are queued in the order in which they run out.
#[derive(Debug, Default)]
pub struct KeptResults {
    results: HashMap<ResultHandle, KeptResult>,
    /// When endpoints forget results by themselves, earliest first.
    running_out: VecDeque<(Timestamp, ResultHandle)>,
    /// When results that endpoints have forgotten are forgotten here, earliest first.
    remembered: VecDeque<(Timestamp, ResultHandle)>,
}

#[derive(Debug)]
struct KeptResult {
    /// What the endpoint gets back; none once it has it.
    room: Option<FreedRoom>,
    is_released: bool,
}

impl KeptResults {
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
    pub fn keep(&mut self, handle: ResultHandle, room: FreedRoom, until: Timestamp) {
        self.running_out.push_back((until, handle.clone()));
        self.results.insert(handle, KeptResult { room: Some(room), is_released: false });
    }

    /// Notes that a result is given up; tells whether it had been given up before.
    pub fn release(&mut self, handle: &ResultHandle) -> bool {
        let known = self.results.get_mut(handle);
        known.is_some_and(|kept| std::mem::replace(&mut kept.is_released, true))
    }

    /// Notes that the endpoint has forgotten a result; returns the room that it has again, the first time.
    pub fn free(&mut self, handle: &ResultHandle) -> Option<FreedRoom> {
        self.results.get_mut(handle)?.room.take()
    }

    /// Forgets results whose time is over, and returns the room of those that were not given up.
    pub fn expire(&mut self, now: Timestamp) -> Vec<FreedRoom> {
        let mut freed = Vec::new();
        while let Some((until, handle)) = pop_due(&mut self.running_out, now) {
            freed.extend(self.free(&handle));
            self.remembered.push_back((until.plus(MEMORY), handle));
        }
        while let Some((_, handle)) = pop_due(&mut self.remembered, now) {
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
