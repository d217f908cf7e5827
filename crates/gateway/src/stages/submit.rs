use masticstair_core::prelude::*;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

use super::owner::ask;
use super::release::release_results;
use super::run::{cancel_stage, run_stage};
use crate::messages::{
    CancelRequest, Message, ReleaseRequest, Reply, StageAnswer, StageFailure, StageReply,
    StageRequest,
};
use crate::{Gateway, PeerHost};

/// How long the end of a stage or results that are given up may take to reach another host.
const NOTE_LIMIT: Duration = Duration::from_millis(500);

/// Has a stage run by the host that forms the calls of its service, or by this one when that host does not
/// answer. Ends the stage when it is dropped.
pub(crate) async fn submit_stage(gw: &Rc<Gateway>, request: StageRequest) -> StageReply {
    let started = gw.now();
    let own = gw.host.clone();
    let cancel = CancelRequest { call: request.call.clone(), stage: request.stage };
    if let Some(owner) = gw.owners.owner(gw, &request.service) {
        let guard = CancelGuard::new(gw, Some(owner.clone()), cancel.clone());
        let _watched = gw.owners.watch(gw, &owner);
        let limit = request.left.duration();
        let message = Message::Stage(Box::new(request.clone()));
        let answer = ask(&owner, &message, limit).await;
        guard.finish();
        match answer {
            Ok(Reply::Stage(answer))
                if answer.reply == StageReply::Failed(StageFailure::NoEndpoint) => {}
            Ok(Reply::Stage(answer)) => {
                note_wait(gw, &request, &answer);
                return answer.reply;
            }
            other => {
                info!(gw.log, "stage moves to this host"; "request" => %request.call,
                    "service" => %request.service, "owner" => %owner.host,
                    "reason" => ?other);
                gw.owners.avoid(gw.now(), &owner.host);
            }
        }
    }
    let waited = Millis::new(gw.now().since(started).as_millis() as u64);
    let left = Millis::new(request.left.get().saturating_sub(waited.get()));
    let due = Millis::new(request.due.get().saturating_sub(waited.get()));
    let guard = CancelGuard::new(gw, None, cancel);
    let answer = run_stage(gw, own, StageRequest { left, due, ..request.clone() }).await;
    guard.finish();
    note_wait(gw, &request, &answer);
    answer.reply
}

fn note_wait(gw: &Gateway, request: &StageRequest, answer: &StageAnswer) {
    let wait = answer.wait.duration();
    gw.stage_times.note_wait(gw.now(), &request.service, request.priority, wait);
}

/// Gives up results through the host that formed the calls.
pub(crate) fn give_up_results(gw: &Rc<Gateway>, service: ServiceName, results: Vec<ResultHandle>) {
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
                if ask(&owner, &message, NOTE_LIMIT).await.is_err() {
                    release_results(&gw, &gw.stages.service_of(&service), results_here);
                }
            });
        }
    }
}

/// Ends a stage when its requester stops waiting.
struct CancelGuard {
    gw: Rc<Gateway>,
    owner: Option<PeerHost>,
    cancel: Option<CancelRequest>,
}

impl CancelGuard {
    fn new(gw: &Rc<Gateway>, owner: Option<PeerHost>, cancel: CancelRequest) -> Self {
        Self { gw: gw.clone(), owner, cancel: Some(cancel) }
    }

    fn finish(mut self) {
        self.cancel = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(cancel) = self.cancel.take() else { return };
        match self.owner.take() {
            None => cancel_stage(&self.gw, self.gw.host.clone(), cancel),
            Some(owner) => {
                monoio::spawn(async move {
                    // A host that does not answer lets the stage end at its deadline.
                    let _ = ask(&owner, &Message::Cancel(cancel), NOTE_LIMIT).await;
                });
            }
        }
    }
}
