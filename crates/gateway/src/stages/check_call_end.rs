use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::poison::CrashKey;
use masticstair_policy::stage_queue::JobNumber;
use slog::warn;
use std::rc::Rc;
use std::sync::Arc;

use super::call_loss::CallLoss;
use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::endpoint_end::{has_ended, is_endpoint_silent};

/// A call whose outcome is unknown.
pub(super) struct LostCall {
    pub(super) stages: Rc<ServiceStages>,
    pub(super) endpoint: Arc<ServingEndpoint>,
    /// The jobs of its items, each once.
    pub(super) jobs: Vec<JobNumber>,
    pub(super) sent_at: Timestamp,
    pub(super) loss: CallLoss,
}

/// Records with the jobs of a lost call whether its endpoint has ended. Does not wait for an endpoint that is silent, since
/// its items are to be sent to another one.
pub(super) async fn check_call_end(gw: &Rc<Gateway>, call: LostCall) {
    match call.loss {
        CallLoss::Broken => record_end(gw, call).await,
        CallLoss::Silent if is_endpoint_silent(gw, &call.endpoint.id, call.sent_at) => {
            let gw = gw.clone();
            monoio::spawn(async move { record_end(&gw, call).await });
        }
        CallLoss::Silent | CallLoss::Invalid => {}
    }
}

async fn record_end(gw: &Gateway, call: LostCall) {
    let LostCall { stages, endpoint, jobs, sent_at, .. } = call;
    let ended_at = gw.now();
    if !has_ended(gw, &endpoint).await {
        return;
    }
    gw.metrics.count_endpoint_end(&stages.service);
    warn!(gw.log, "endpoint ended during a stage call"; "service" => %stages.service,
        "endpoint" => %endpoint.id, "incarnation" => %endpoint.incarnation, "stages" => jobs.len());
    let crash = CrashKey { endpoint: endpoint.id.clone(), incarnation: endpoint.incarnation };
    let known = stages.jobs.borrow();
    for job in jobs.iter().filter_map(|number| known.get(number)) {
        job.crashes.borrow_mut().add(&crash, sent_at, ended_at);
    }
}
