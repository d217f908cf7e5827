use masticstair_core::prelude::*;
use masticstair_policy::request_crashes::CrashCount;
use masticstair_policy::smoothing::smoothed;
use masticstair_policy::stage_queue::{
    ArrivalRate, EndpointLoad, JobNumber, ResultCapacity, RetainedResults, StageQueue,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::job::Job;
use super::stage_usage::StageUsage;
use crate::messages::{CancelRequest, StageFailure, StageOutcome};

/// Weight of a new sample in the mean call duration.
const CALL_TIME_WEIGHT: f64 = 0.1;

/// The stages that this host runs on one service.
pub(crate) struct ServiceStages {
    pub(super) service: ServiceName,
    pub(super) queue: RefCell<StageQueue>,
    /// Calls and results of this host at each endpoint.
    pub(super) endpoint_loads: RefCell<HashMap<EndpointId, EndpointLoad>>,
    pub(super) jobs: RefCell<HashMap<JobNumber, Job>>,
    /// The job of each stage, by the host that requested it, the client request and the position of the stage.
    pub(super) by_request: RefCell<HashMap<(HostId, CancelRequest), JobNumber>>,
    /// The job number that was assigned last.
    pub(super) last_job: Cell<JobNumber>,
    /// Results that endpoints retain for this host, and for a while the handles of expired ones, which detect
    /// repeated answers.
    pub(super) retained: RefCell<RetainedResults>,
    /// Results to release with the next release call to each endpoint, by its address.
    pub(super) to_release: RefCell<HashMap<SocketAddr, Vec<ResultHandle>>>,
    /// When the last call ended, and the mean duration of calls.
    pub(super) mean_call_time: Cell<(Timestamp, Duration)>,
    /// How many items arrive.
    pub(super) arrivals: Cell<ArrivalRate>,
    /// When a task dispatches the queue because a call has waited for more items.
    pub(super) held_until: Cell<Option<Timestamp>>,
    /// How well the calls are filled.
    pub(super) usage: RefCell<StageUsage>,
    /// Whether a task is scheduled that dispatches the queue again.
    pub(super) is_dispatch_scheduled: Cell<bool>,
    /// Whether a task dispatches the queue once it runs.
    pub(super) is_dispatch_due: Cell<bool>,
}

impl ServiceStages {
    pub(super) fn new(service: ServiceName) -> Self {
        Self {
            service,
            queue: RefCell::default(),
            endpoint_loads: RefCell::default(),
            jobs: RefCell::default(),
            by_request: RefCell::default(),
            last_job: Cell::default(),
            retained: RefCell::default(),
            to_release: RefCell::default(),
            mean_call_time: Cell::default(),
            arrivals: Cell::default(),
            held_until: Cell::default(),
            usage: RefCell::default(),
            is_dispatch_scheduled: Cell::default(),
            is_dispatch_due: Cell::default(),
        }
    }

    /// Accesses the load of an endpoint; the first access creates it.
    pub(super) fn with_endpoint_load<T>(
        &self,
        id: &EndpointId,
        f: impl FnOnce(&mut EndpointLoad) -> T,
    ) -> T {
        let mut loads = self.endpoint_loads.borrow_mut();
        match loads.get_mut(id) {
            Some(known) => f(known),
            None => f(loads.entry(id.clone()).or_default()),
        }
    }

    pub(super) fn record_arrival(&self, now: Timestamp, items: usize) {
        let mut arrivals = self.arrivals.get();
        arrivals.record(now, items);
        self.arrivals.set(arrivals);
    }

    pub(super) fn record_call_time(&self, now: Timestamp, took: Duration) {
        let (_, mean) = self.mean_call_time.get();
        let mean = Some(mean).filter(|mean| !mean.is_zero());
        self.mean_call_time.set((now, smoothed(mean, took, CALL_TIME_WEIGHT)));
    }

    /// Fails a job and returns the results it already has.
    pub(super) fn fail_job(&self, number: JobNumber, failure: StageFailure) -> Vec<ResultHandle> {
        let Some(job) = self.jobs.borrow_mut().remove(&number) else { return Vec::new() };
        self.queue.borrow_mut().remove_job(number);
        self.by_request.borrow_mut().remove(&job.key());
        // The requester may have stopped waiting.
        let _ = job.reply.send(StageOutcome::Failed(failure));
        job.results.into_iter().flatten().collect()
    }

    /// Returns the number of endpoints that ended during calls with pieces of a job.
    pub(super) fn crash_count(&self, number: JobNumber) -> CrashCount {
        self.jobs.borrow().get(&number).map(|job| job.crashes.borrow().count()).unwrap_or_default()
    }

    /// Completes a job that has all its results.
    pub(super) fn complete_job(&self, number: JobNumber) {
        let Some(job) = self.jobs.borrow_mut().remove(&number) else { return };
        self.by_request.borrow_mut().remove(&job.key());
        let results = job.results.into_iter().flatten().collect();
        // If the requester has stopped waiting, the results expire.
        let _ = job.reply.send(StageOutcome::Done(results));
    }

    /// Releases the capacity of results that an endpoint has deleted.
    pub(super) fn record_freed(&self, results: &[ResultHandle]) {
        let mut retained = self.retained.borrow_mut();
        for freed in results.iter().filter_map(|handle| retained.free(handle)) {
            self.release_capacity(&freed);
        }
    }

    /// Releases the capacity of results that have expired at their endpoints.
    pub(super) fn expire_results(&self, now: Timestamp) {
        for freed in self.retained.borrow_mut().expire(now) {
            self.release_capacity(&freed);
        }
    }

    fn release_capacity(&self, freed: &ResultCapacity) {
        self.with_endpoint_load(&freed.endpoint, |load| load.release_capacity(freed.size));
    }
}
