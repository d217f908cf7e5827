use masticstair_core::prelude::*;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

use super::cancel_guard::CancelGuard;
use super::release_results::release_results;
use super::run_stage::run_stage;
use super::stage_owners::send_message;
use crate::messages::{
    CancelRequest, Message, ReleaseRequest, Reply, StageFailure, StageReply, StageRequest,
};
use crate::{Gateway, PeerHost};

/// Hosts that are asked in turn to form the calls of a stage.
const MAX_OWNERS: usize = 3;

/// How much longer than the stage its answer may take to come back.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);

/// How long the end of a stage or results that are given up may take to reach another host.
pub(super) const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Has a stage run by the host that forms the calls of its service, by the next one when that host does not
/// answer, and in the end by this one. Ends the stage when it is dropped.
pub(crate) async fn submit_stage(gw: &Rc<Gateway>, request: StageRequest) -> StageReply {
    let started = gw.now();
    for _ in 0..MAX_OWNERS {
        let Some(owner) = gw.owners.owner(gw, &request.service) else { break };
        let request = with_less_time(&request, gw.now().since(started));
        if request.left == Millis::default() {
            return StageReply::Failed(StageFailure::Late);
        }
        if let Some(reply) = submit_to(gw, &owner, request).await {
            return reply;
        }
    }
    let request = with_less_time(&request, gw.now().since(started));
    let cancel = CancelRequest { call: request.call.clone(), stage: request.stage };
    let guard = CancelGuard::new(gw, None, cancel);
    let answer = run_stage(gw, gw.host.clone(), request.clone()).await;
    guard.disarm();
    gw.stage_times.record_load(gw.now(), answer.load);
    answer.reply
}

/// Takes the time that has passed from what a request has left.
fn with_less_time(request: &StageRequest, elapsed: Duration) -> StageRequest {
    let elapsed = elapsed.as_millis() as u64;
    let left = Millis::new(request.left.get().saturating_sub(elapsed));
    let due = Millis::new(request.due.get().saturating_sub(elapsed));
    StageRequest { left, due, ..request.clone() }
}

/// Has a stage run by another host; none when it does not.
async fn submit_to(
    gw: &Rc<Gateway>,
    owner: &PeerHost,
    request: StageRequest,
) -> Option<StageReply> {
    let cancel = CancelRequest { call: request.call.clone(), stage: request.stage };
    let guard = CancelGuard::new(gw, Some(owner.clone()), cancel);
    let _watched = gw.owners.watch(gw, owner);
    // A call that misses its deadline closes the connection and ends all others on it, so the host has to
    // answer before.
    let limit = request.left.duration() + ANSWER_MARGIN;
    let message = Message::Stage(Box::new(request.clone()));
    let answer = send_message(owner, &message, limit).await;
    guard.disarm();
    let reason = match answer {
        Ok(Reply::Stage(answer)) => {
            gw.stage_times.record_load(gw.now(), answer.load);
            match answer.reply {
                StageReply::Failed(e @ (StageFailure::NoEndpoint | StageFailure::Moved)) => {
                    e.to_string().into()
                }
                reply => return Some(reply),
            }
        }
        Ok(Reply::Refused(reason)) => reason,
        Ok(_) => "the answer belongs to another message".into(),
        Err(reason) => reason,
    };
    info!(gw.log, "stage moves to another host"; "request" => %request.call,
        "service" => %request.service, "owner" => %owner.host, "reason" => reason.as_ref());
    gw.owners.avoid(gw.now(), &owner.host);
    None
}

/// Gives up results through the host that formed the calls.
pub(crate) fn submit_release(gw: &Rc<Gateway>, service: ServiceName, results: Vec<ResultHandle>) {
    if results.is_empty() {
        return;
    }
    match gw.owners.owner(gw, &service) {
        None => release_results(gw, &gw.stages.service_of(&service), results),
        Some(owner) => {
            let gw = gw.clone();
            monoio::spawn(async move {
                let results_here = results.clone();
                let message =
                    Message::Release(ReleaseRequest { service: service.clone(), results });
                if send_message(&owner, &message, NOTICE_TIMEOUT).await.is_err() {
                    release_results(&gw, &gw.stages.service_of(&service), results_here);
                }
            });
        }
    }
}
