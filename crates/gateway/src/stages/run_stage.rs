use futures_channel::oneshot;
use masticstair_core::prelude::*;
use masticstair_policy::stage_queue::StageItem;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::dispatch::dispatch_soon;
use super::job::Job;
use super::job_crashes::JobCrashes;
use super::release_results::fail_jobs;
use super::stage_loads::stage_load;
use crate::Gateway;
use crate::front_end::StageSource;
use crate::messages::{CancelRequest, StageFailure, StageOutcome, StageReply, StageRequest};

/// Time after the deadline of a stage within which its requester gets a reply.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Runs a stage on the endpoints of its service.
pub(crate) async fn run_stage(gw: &Rc<Gateway>, from: HostId, request: StageRequest) -> StageReply {
    let service = request.service.clone();
    let crashes = Rc::new(RefCell::new(JobCrashes::default()));
    let outcome = run(gw, from, request, crashes.clone()).await;
    let crashes = match &outcome {
        StageOutcome::Done(_) => Vec::new(),
        StageOutcome::Failed(_) => crashes.borrow().to_messages(gw.now()),
    };
    let stages = gw.stages.service_of(&service);
    StageReply { outcome, load: stage_load(gw, &stages), crashes }
}

async fn run(
    gw: &Rc<Gateway>,
    from: HostId,
    request: StageRequest,
    crashes: Rc<RefCell<JobCrashes>>,
) -> StageOutcome {
    let service = &request.service;
    let known = gw.catalog.get().is_some_and(|c| c.services.contains_key(service));
    if !known || gw.directory.borrow().ready(service).is_empty() {
        return StageOutcome::Failed(StageFailure::NoEndpoint);
    }
    let now = gw.now();
    let stages = gw.stages.service_of(service);
    let number = stages.last_job.get().next();
    stages.last_job.set(number);
    let (reply, done) = oneshot::channel();
    let (pieces, left) = (request.pieces, request.left.duration());
    let job = Job {
        from,
        arrived_at: now,
        deadline: now.plus(request.left.duration()),
        due: now.plus(request.due.duration()),
        results: vec![None; pieces as usize],
        missing: pieces,
        crashes,
        request,
        reply,
    };
    let item = |piece| StageItem {
        job: number,
        piece,
        objective: job.due,
        deadline: job.deadline,
        queued_at: now,
        priority: job.request.priority,
        preferred_data_centre: job.request.near.clone(),
        result_size: job.request.result,
        is_first_stage: matches!(job.request.source, StageSource::Key(_)),
        is_alone: job.request.is_suspected,
        failures: 0,
    };
    stages.queue.borrow_mut().push((0..pieces).map(item));
    stages.record_arrival(now, pieces as usize);
    gw.record_requests(&stages.service, pieces);
    stages.by_request.borrow_mut().insert(job.key(), number);
    stages.jobs.borrow_mut().insert(number, job);
    dispatch_soon(gw, &stages);
    match monoio::time::timeout(left + ANSWER_MARGIN, done).await {
        Ok(outcome) => outcome.unwrap_or(StageOutcome::Failed(StageFailure::Cancelled)),
        Err(_) => {
            fail_jobs(gw, &stages, [number], StageFailure::Late);
            StageOutcome::Failed(StageFailure::Late)
        }
    }
}

/// Fails the stages of remote requesters of which no piece was sent yet; the requesters submit them to the next
/// host.
pub(crate) fn hand_over_stages(gw: &Rc<Gateway>) {
    for stages in gw.stages.all() {
        let is_remote = |job: &Job| job.from != gw.host;
        let waiting = stages.queue.borrow().waiting_jobs();
        let jobs = stages.jobs.borrow();
        let remote = jobs.iter().filter(|(number, job)| {
            is_remote(job) && waiting.get(number) == Some(&(job.request.pieces as usize))
        });
        let numbers: Vec<_> = remote.map(|(number, _)| *number).collect();
        drop(jobs);
        fail_jobs(gw, &stages, numbers, StageFailure::Moved);
    }
}

/// Cancels a stage whose request has ended and releases its results.
pub(crate) fn cancel_stage(gw: &Rc<Gateway>, from: HostId, cancel: CancelRequest) {
    let key = (from, cancel);
    for stages in gw.stages.all() {
        let number = stages.by_request.borrow().get(&key).copied();
        fail_jobs(gw, &stages, number, StageFailure::Cancelled);
    }
}
