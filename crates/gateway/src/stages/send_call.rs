use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::RelayCall;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stage_queue::StageItem;
use slog::debug;
use std::time::Duration;

use super::answer_origin::AnswerOrigin;
use super::batch_call::LOST_CALL_BACKOFF;
use super::call_loss::CallLoss;
use super::call_outcome::CallOutcome;
use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::front_end::{StageCall, StageCallItem};

/// How long an endpoint that refused a call as full gets no calls.
const FULL_ENDPOINT_BACKOFF: Duration = Duration::from_millis(120);

/// How long an endpoint gets no calls after another endpoint answered at its address.
const WRONG_ENDPOINT_BACKOFF: Duration = Duration::from_secs(2);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest idle time of a connection that is reused; endpoints close idle connections after several seconds.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(2);

const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Sends a call to an endpoint and reads its answer.
pub(super) async fn send_call(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoint: &ServingEndpoint,
    limits: &BatchLimits,
    items: &[StageItem],
) -> CallOutcome {
    let Some(call) = encode_call(gw, stages, endpoint, items) else {
        return CallOutcome::NotRun(Duration::ZERO, "a stage of the call has already ended".into());
    };
    let timeout =
        stages.with_endpoint_load(&endpoint.id, |load| load.call_timeout(limits, items.len()));
    let sent_at = gw.now();
    let send = async {
        let sent = gw.pool.send(call).await;
        gw.record_reachability(endpoint, sent.as_ref().err());
        let (head, body) = match sent {
            Ok(answer) => answer,
            Err(e) if e.may_have_sent() => {
                return CallOutcome::Lost(CallLoss::Broken, e.to_string().into());
            }
            Err(e) => return CallOutcome::NotRun(LOST_CALL_BACKOFF, e.to_string().into()),
        };
        let meta = (gw.front_end.read_answer)(head.status, &head.headers);
        gw.record_answer(endpoint, &meta);
        gw.record_pause(endpoint, &meta, sent_at);
        if meta.not_run || meta.is_other_endpoint {
            let backoff =
                if meta.is_other_endpoint { WRONG_ENDPOINT_BACKOFF } else { FULL_ENDPOINT_BACKOFF };
            return CallOutcome::NotRun(backoff, format!("status {}", head.status).into());
        }
        let (bytes, connection) = match body.read_all(MAX_ANSWER_BYTES, &gw.answer_room).await {
            Ok(read) => read,
            Err(e) => return CallOutcome::Lost(CallLoss::Broken, e.to_string().into()),
        };
        if !head.status.is_success() {
            return CallOutcome::Lost(CallLoss::Invalid, format!("status {}", head.status).into());
        }
        let outcomes = (gw.front_end.read_stage_answer)(&bytes);
        let Some(outcomes) = outcomes.filter(|outcomes| outcomes.len() == items.len()) else {
            gw.pool.evict(endpoint.address);
            return CallOutcome::Lost(CallLoss::Invalid, "answer is malformed".into());
        };
        let origin = {
            let retained = stages.retained.borrow();
            AnswerOrigin::of(&outcomes, |handle| retained.contains(handle))
        };
        debug!(gw.log, "stage answer read"; "service" => %stages.service,
            "endpoint" => %endpoint.id, "connection" => %head.connection,
            "items" => items.len(), "origin" => ?origin);
        match origin {
            AnswerOrigin::ThisCall => {
                connection.keep();
                CallOutcome::Answered(outcomes)
            }
            // The connection is closed: the answer to this call may still be due on it.
            AnswerOrigin::Unknown => CallOutcome::Unidentified(outcomes),
            AnswerOrigin::EarlierCall => {
                gw.pool.evict(endpoint.address);
                let reason = "answer repeats results of an earlier call".into();
                CallOutcome::Lost(CallLoss::Invalid, reason)
            }
        }
    };
    match monoio::time::timeout(timeout, send).await {
        Ok(outcome) => outcome,
        Err(_) => {
            gw.pool.evict(endpoint.address);
            let reason = format!("no answer within {} ms", timeout.as_millis());
            CallOutcome::Lost(CallLoss::Silent, reason.into())
        }
    }
}

/// Encodes a call; none if the stage of one of its items has ended.
fn encode_call(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoint: &ServingEndpoint,
    items: &[StageItem],
) -> Option<RelayCall> {
    let now = gw.now();
    let jobs = stages.jobs.borrow();
    let mut encoded = Vec::with_capacity(items.len());
    for item in items {
        let job = jobs.get(&item.job)?;
        encoded.push(StageCallItem {
            call: &job.request.call,
            stage: job.request.stage,
            piece: item.piece,
            left: Millis::new(item.deadline.since(now).as_millis() as u64),
            source: &job.request.source,
        });
    }
    let call = StageCall { endpoint: &endpoint.id, items: encoded };
    let call = (gw.front_end.stage_call)(&call);
    Some(gw.relay_call(call, endpoint.address, CONNECT_TIMEOUT, MAX_CONNECTION_IDLE))
}
