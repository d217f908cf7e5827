use masticstair_core::prelude::*;
use masticstair_net::http::relay::RelayError;
use masticstair_policy::stage_queue::JobNumber;
use slog::{debug, info};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::dispatch::dispatch_soon;
use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::messages::StageFailure;

/// How long results are collected before one call releases them.
const RELEASE_BATCH_DELAY: Duration = Duration::from_millis(15);

/// If the call fails, the results expire at the endpoint.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest idle time of a connection that is reused.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(2);

/// Releases results of a service.
pub(crate) fn release_results(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    results: Vec<ResultHandle>,
) {
    for handle in results {
        if stages.retained.borrow_mut().release(&handle) {
            continue;
        }
        if let Some(address) = (gw.front_end.result_address)(&handle) {
            queue_release(gw, stages, address, handle);
        }
    }
}

/// Fails stages, and releases the results they already have.
pub(super) fn fail_jobs(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    numbers: impl IntoIterator<Item = JobNumber>,
    failure: StageFailure,
) {
    for number in numbers {
        log_failure(gw, stages, number, failure);
        let results = stages.fail_job(number, failure);
        release_results(gw, stages, results);
    }
}

/// Logs a stage that is abandoned. Cancelled stages are left out: their requester logs the end of the
/// request.
fn log_failure(gw: &Gateway, stages: &ServiceStages, number: JobNumber, failure: StageFailure) {
    let jobs = stages.jobs.borrow();
    let Some(job) = jobs.get(&number).filter(|_| failure != StageFailure::Cancelled) else {
        return;
    };
    let now = gw.now();
    info!(gw.log, "stage abandoned"; "request" => %job.request.call, "stage" => job.request.stage,
        "service" => %stages.service, "reason" => %failure, "pieces" => job.request.pieces,
        "missing" => job.missing, "age_ms" => now.since(job.arrived_at).as_millis() as u64,
        "due_in_ms" => job.due.since(now).as_millis() as u64,
        "left_ms" => job.deadline.since(now).as_millis() as u64,
        "waiting" => stages.queue.borrow().len(), "from" => %job.from);
}

fn queue_release(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    address: SocketAddr,
    handle: ResultHandle,
) {
    let mut to_release = stages.to_release.borrow_mut();
    let queued = to_release.entry(address).or_default();
    queued.push(handle);
    if queued.len() > 1 {
        return;
    }
    let (gw, stages) = (gw.clone(), stages.clone());
    monoio::spawn(async move {
        monoio::time::sleep(RELEASE_BATCH_DELAY).await;
        wait_for_pause_end(&gw, &stages.service, address).await;
        let Some(results) = stages.to_release.borrow_mut().remove(&address) else { return };
        let call = (gw.front_end.release_call)(&results);
        let call = gw.relay_call(call, address, RELEASE_TIMEOUT, MAX_CONNECTION_IDLE);
        let send = async {
            let (head, body) = gw.release_pool.send(call).await?;
            let (_, connection) = body.read_all(4_096, &gw.answer_room).await?;
            debug!(gw.log, "results released"; "service" => %stages.service,
                "address" => %address, "connection" => %head.connection,
                "results" => results.len());
            connection.keep();
            Ok::<_, RelayError>(())
        };
        match monoio::time::timeout(RELEASE_TIMEOUT, send).await {
            // The endpoint's capacity is free only after its answer.
            Ok(Ok(_)) => {
                stages.record_freed(&results);
                dispatch_soon(&gw, &stages);
            }
            Ok(Err(e)) => {
                debug!(gw.log, "releasing results failed; they expire at the endpoint";
                    "reason" => %e)
            }
            Err(_) => {
                debug!(gw.log, "releasing results timed out; they expire at the endpoint";
                    "address" => %address)
            }
        }
    });
}

/// Waits while an endpoint has asked this host to send it nothing. Its results may expire meanwhile.
async fn wait_for_pause_end(gw: &Gateway, service: &ServiceName, address: SocketAddr) {
    loop {
        let left = gw.pause_at(service, address);
        if left.is_zero() {
            return;
        }
        monoio::time::sleep(left).await;
    }
}
