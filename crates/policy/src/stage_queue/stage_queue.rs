use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::Duration;

use super::waiting_stage::WaitingStage;
use super::{CallOutlook, EndpointOffer, JobNumber, StageItem};

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

    /// Returns the size of the smallest result of the waiting items; none if no item waits.
    pub fn smallest_result(&self) -> Option<ByteCount> {
        self.waiting.iter().map(|stage| stage.item.result_size).min()
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

    /// Returns when the last of the items that prefer a data centre is expected to start there, for each data centre
    /// that items prefer and that has endpoints. `free_at` holds when each endpoint takes its next call, and
    /// `full_call_time` is how long a call with `max_items` items takes.
    pub fn local_starts(
        &self,
        free_at: &[(DataCentreId, Timestamp)],
        max_items: usize,
        full_call_time: Duration,
    ) -> SmallVec<[(DataCentreId, Timestamp); 4]> {
        let mut starts = SmallVec::new();
        for (preferred, count) in self.waiting_by_preference() {
            let local = free_at.iter().filter(|(data_centre, _)| data_centre == preferred);
            let mut free: SmallVec<[Timestamp; 16]> = local.map(|(_, at)| *at).collect();
            if free.is_empty() {
                continue;
            }
            free.sort_unstable();
            let last_call = count.saturating_sub(1) / max_items.max(1);
            let rounds = (last_call / free.len()) as u32;
            let start = free[last_call % free.len()].plus(full_call_time * rounds);
            // Which endpoint is free first is known to about the time between the ends of two calls.
            let start = start.plus(full_call_time / free.len() as u32);
            starts.push((preferred.clone(), start));
        }
        starts
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

    /// Returns what an endpoint could run now; none if no waiting item may run there.
    pub fn outlook(&self, now: Timestamp, offer: &EndpointOffer) -> Option<CallOutlook> {
        let eligible = self.waiting.iter().filter(|stage| is_eligible(&stage.item, now, offer));
        let (mut items, mut wait_until) = (0, None::<Timestamp>);
        for stage in eligible {
            items += stage.len();
            let until = latest_hold(&stage.item, offer.largest_call_time);
            wait_until = Some(wait_until.map_or(until, |earliest| earliest.min(until)));
        }
        Some(CallOutlook {
            items,
            max_items: offer.max_items,
            wait_until: wait_until?,
            arrivals: offer.arrivals,
            endpoints: offer.endpoints,
            full_call_time: offer.largest_call_time,
        })
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
/// data centre is overloaded, the item waited for `LOCALITY_WAIT`, or it would be late there. A slow
/// endpoint gets no item that would be late there and on time on a faster one.
///
/// Answers a load in which every endpoint is busy most of the time: then another data centre always has the next free
/// endpoint, and results of megabytes would cross for a few milliseconds of waiting.
fn is_eligible(item: &StageItem, now: Timestamp, offer: &EndpointOffer) -> bool {
    let is_late_here = item.objective < now.plus(offer.full_call_time);
    if is_late_here && offer.faster_completion.is_some_and(|time| now.plus(time) <= item.objective)
    {
        return false;
    }
    let Some(preferred) = &item.preferred_data_centre else { return true };
    let local = offer.local_starts.iter().find(|(data_centre, _)| data_centre == preferred);
    let is_late_there =
        local.is_none_or(|(_, start)| item.objective < start.plus(offer.full_call_time));
    *preferred == offer.data_centre
        || offer.overloaded.contains(preferred)
        || now.since(item.queued_at) >= LOCALITY_WAIT
        || is_late_there
}

/// The part of the time to spare of an item that it may wait for a fuller call. The rest is for what the estimates of the
/// later stages miss.
const HOLD_SHARE: f64 = 0.25;

/// Returns until when an item may wait for a fuller call of duration `call`. An item that is alone in its call, or whose
/// calls failed, does not wait.
fn latest_hold(item: &StageItem, call: Duration) -> Timestamp {
    if item.is_alone || item.failures > 0 {
        return item.queued_at;
    }
    let to_spare = item.objective.since(item.queued_at).saturating_sub(call);
    item.queued_at.plus(to_spare.mul_f64(HOLD_SHARE))
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
