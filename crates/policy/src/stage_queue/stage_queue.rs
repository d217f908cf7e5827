use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

use super::waiting_stage::WaitingStage;
use super::{EndpointOffer, JobNumber, StageItem};

/// Added to the objective of an item per priority level when items are ordered. Priorities order requests of
/// similar age and do not starve requests that have waited long.
const PRIORITY_STEP: Duration = Duration::from_millis(500);

/// Items of one stage service that wait for a call.
#[derive(Debug, Default)]
pub struct StageQueue {
    waiting: Vec<WaitingStage>,
}

impl StageQueue {
    /// Adds items. Consecutive items of one stage share an entry.
    pub fn push(&mut self, items: impl IntoIterator<Item = StageItem>) {
        for item in items {
            match self.waiting.last_mut() {
                Some(last) if last.accepts(&item) => last.pieces.push((item.piece, item.failures)),
                _ => self.waiting.push(WaitingStage::new(item)),
            }
        }
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(WaitingStage::len).sum()
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the data centres that waiting items prefer.
    pub fn preferred_data_centres(&self) -> SmallVec<[DataCentreId; 8]> {
        self.waiting_by_preference().into_iter().map(|(preferred, _)| preferred.clone()).collect()
    }

    /// Returns how many items prefer each data centre that is preferred.
    fn waiting_by_preference(&self) -> SmallVec<[(&DataCentreId, usize); 8]> {
        let mut waiting: SmallVec<[(&DataCentreId, usize); 8]> = SmallVec::new();
        for stage in &self.waiting {
            let Some(preferred) = &stage.item.preferred_data_centre else { continue };
            match waiting.iter_mut().find(|(known, _)| *known == preferred) {
                Some((_, count)) => *count += stage.len(),
                None => waiting.push((preferred, stage.len())),
            }
        }
        waiting
    }

    /// Returns the data centres that more than `capacity` waiting items prefer; `capacity` is the number of items
    /// that the endpoints of a data centre can take with their next calls.
    pub fn overloaded(
        &self,
        capacity: impl Fn(&DataCentreId) -> usize,
    ) -> SmallVec<[DataCentreId; 4]> {
        let waiting = self.waiting_by_preference().into_iter();
        let over = waiting.filter(|(preferred, count)| *count > capacity(preferred));
        over.map(|(preferred, _)| preferred.clone()).collect()
    }

    /// Returns the number of waiting items with this or a more urgent priority.
    pub fn count_ahead(&self, priority: u8) -> usize {
        let ahead = self.waiting.iter().filter(|stage| stage.item.priority <= priority);
        ahead.map(WaitingStage::len).sum()
    }

    /// Removes the stages that would miss their latency objective if a call of duration `call` began now, and
    /// returns them. With `first_stage_only`, stages whose requests have results of earlier stages stay.
    pub fn remove_late(
        &mut self,
        now: Timestamp,
        call: Duration,
        first_stage_only: bool,
    ) -> Vec<JobNumber> {
        let end = now.plus(call);
        self.remove_jobs(|item| (item.is_first_stage || !first_stage_only) && item.objective < end)
    }

    /// Returns the number of waiting items of each stage.
    pub fn waiting_jobs(&self) -> HashMap<JobNumber, usize> {
        let mut jobs = HashMap::new();
        for stage in &self.waiting {
            *jobs.entry(stage.item.job).or_default() += stage.len();
        }
        jobs
    }

    /// Removes the items of a stage.
    pub fn remove_job(&mut self, job: JobNumber) {
        self.waiting.retain(|stage| stage.item.job != job);
    }

    /// Removes the stages that would miss their deadline if a call of duration `call` began now, and returns
    /// them.
    pub fn remove_expired(&mut self, now: Timestamp, call: Duration) -> Vec<JobNumber> {
        let end = now.plus(call);
        self.remove_jobs(|item| item.deadline < end)
    }

    fn remove_jobs(&mut self, matches: impl Fn(&StageItem) -> bool) -> Vec<JobNumber> {
        let matching = self.waiting.iter().filter(|stage| matches(&stage.item));
        let mut jobs: Vec<_> = matching.map(|stage| stage.item.job).collect();
        if jobs.is_empty() {
            return jobs;
        }
        jobs.sort_unstable();
        jobs.dedup();
        self.waiting.retain(|stage| jobs.binary_search(&stage.item.job).is_err());
        jobs
    }

    /// Removes and returns the items of the next call of an endpoint. Items that can meet their objective are taken
    /// before late ones, each group by objective with additions for a lower priority and for preferring another
    /// data centre. A stage that is to be alone shares the call with no other.
    pub fn take_call(&mut self, now: Timestamp, offer: &EndpointOffer) -> Vec<StageItem> {
        let end = now.plus(offer.full_call_time);
        // The entries are large, so their positions are sorted.
        let eligible =
            self.waiting.iter().enumerate().filter(|(_, s)| is_eligible(&s.item, now, offer));
        let mut order: Vec<_> =
            eligible.map(|(n, s)| (rank(&s.item, end, &offer.data_centre), n)).collect();
        order.sort_unstable();
        let mut free_bytes = offer.free_capacity.get();
        let mut taken = Vec::new();
        for (_, position) in order {
            let stage = &mut self.waiting[position];
            let max_pieces = offer.max_items - taken.len();
            if max_pieces == 0 {
                break;
            }
            let is_alone = stage.item.is_alone;
            if is_alone && !taken.is_empty() {
                continue;
            }
            stage.take(max_pieces, &mut free_bytes, &mut taken);
            if is_alone && !taken.is_empty() {
                break;
            }
        }
        if !taken.is_empty() {
            self.waiting.retain(|stage| stage.len() > 0);
        }
        taken
    }
}

/// How long an item waits for an endpoint in its preferred data centre before it may run in another one.
const LOCALITY_WAIT: Duration = Duration::from_millis(400);

/// Returns whether an item may run on an endpoint: the endpoint is in the item's preferred data centre, that
/// data centre is overloaded, or the item waited for `LOCALITY_WAIT` or has no time to wait. A slow endpoint
/// gets no item that would be late there and on time on a faster one.
fn is_eligible(item: &StageItem, now: Timestamp, offer: &EndpointOffer) -> bool {
    let is_late_here = item.objective < now.plus(offer.full_call_time);
    if is_late_here && offer.faster_completion.is_some_and(|time| now.plus(time) <= item.objective)
    {
        return false;
    }
    let Some(preferred) = &item.preferred_data_centre else { return true };
    *preferred == offer.data_centre
        || offer.overloaded.contains(preferred)
        || now.since(item.queued_at) >= LOCALITY_WAIT
        || item.objective < now.plus(offer.full_call_time * 2)
}

/// Added to the objective of an item that prefers another data centre when items are ordered.
const REMOTE_PENALTY: Duration = Duration::from_millis(150);

/// Returns the sort key of an item for a call that ends at `end` in `data_centre`.
fn rank(item: &StageItem, end: Timestamp, data_centre: &DataCentreId) -> (bool, Timestamp) {
    let is_late = item.objective < end;
    let is_remote =
        item.preferred_data_centre.as_ref().is_some_and(|preferred| preferred != data_centre);
    let steps = PRIORITY_STEP * u32::from(item.priority);
    let penalty = if is_remote { REMOTE_PENALTY } else { Duration::ZERO };
    (is_late, item.objective.plus(steps).plus(penalty))
}
