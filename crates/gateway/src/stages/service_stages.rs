use masticstair_core::prelude::*;
use masticstair_policy::stage_queue::{JobNumber, StageQueue, StageWork};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::job::Job;
use super::kept_result::KeptResult;
use crate::messages::{CancelRequest, StageFailure, StageReply};

/// How much longer than the endpoint a result is known here, so that a repeated answer is recognised.
const MEMORY: Duration = Duration::from_secs(6);

/// The stages that this host runs on one service.
pub(crate) struct ServiceStages {
    pub(super) service: ServiceName,
    pub(super) queue: RefCell<StageQueue>,
    pub(super) work: RefCell<HashMap<EndpointId, StageWork>>,
    pub(super) jobs: RefCell<HashMap<JobNumber, Job>>,
    pub(super) by_request: RefCell<HashMap<(HostId, CancelRequest), JobNumber>>,
    /// The number of the last job.
    pub(super) last: Cell<JobNumber>,
    /// Results that endpoints keep for this host, and for a while those that were given up.
    pub(super) kept: RefCell<HashMap<ResultHandle, KeptResult>>,
    /// Results to give up with the next call to each endpoint.
    pub(super) to_release: RefCell<HashMap<SocketAddr, Vec<ResultHandle>>>,
    /// Whether a task will look at the queue again.
    pub(super) timer: Cell<bool>,
}

impl ServiceStages {
    pub(super) fn new(service: ServiceName) -> Self {
        Self {
            service,
            queue: RefCell::default(),
            work: RefCell::default(),
            jobs: RefCell::default(),
            by_request: RefCell::default(),
            last: Cell::default(),
            kept: RefCell::default(),
            to_release: RefCell::default(),
            timer: Cell::default(),
        }
    }

    /// Changes what is known of an endpoint's work.
    pub(super) fn with_work<T>(&self, id: &EndpointId, f: impl FnOnce(&mut StageWork) -> T) -> T {
        f(self.work.borrow_mut().entry(id.clone()).or_default())
    }

    /// Ends a job without its results and returns those that were made.
    pub(super) fn fail_job(&self, number: JobNumber, failure: StageFailure) -> Vec<ResultHandle> {
        let Some(job) = self.jobs.borrow_mut().remove(&number) else { return Vec::new() };
        self.queue.borrow_mut().drop_job(number);
        self.by_request.borrow_mut().remove(&job.key());
        // A requester that is gone needs no word.
        let _ = job.reply.send(StageReply::Failed(failure));
        job.results.into_iter().flatten().collect()
    }

    /// Ends a job whose pieces are all made.
    pub(super) fn complete_job(&self, number: JobNumber) {
        let done = self.jobs.borrow().get(&number).and_then(Job::complete);
        let Some(results) = done else { return };
        if let Some(job) = self.jobs.borrow_mut().remove(&number) {
            self.by_request.borrow_mut().remove(&job.key());
            // A requester that is gone lets the results run out.
            let _ = job.reply.send(StageReply::Done(results));
        }
    }

    /// Notes that an endpoint has forgotten results.
    pub(super) fn note_freed(&self, results: &[ResultHandle]) {
        let mut kept = self.kept.borrow_mut();
        for handle in results {
            if let Some(result) = kept.get_mut(handle) {
                self.free(result);
            }
        }
    }

    /// Forgets results whose time at the endpoints is over.
    pub(super) fn expire_results(&self, now: Timestamp) {
        self.kept.borrow_mut().retain(|_, result| {
            if result.until <= now {
                self.free(result);
            }
            result.until.plus(MEMORY) > now
        });
    }

    /// Frees the room of a result in the books.
    fn free(&self, result: &mut KeptResult) {
        if std::mem::replace(&mut result.freed, true) {
            return;
        }
        self.with_work(&result.endpoint, |work| {
            work.results = ByteCount::new(work.results.get().saturating_sub(result.size.get()));
        });
    }
}
