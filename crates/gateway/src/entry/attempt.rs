use masticstair_core::prelude::*;
use masticstair_net::http::relay::{RelayBody, RelayCall, RelayHead};
use masticstair_policy::directory::ServingEndpoint;
use std::rc::Rc;
use std::time::Duration;

use super::attempt_failure::AttemptFailure;
use super::attempt_options::AttemptOptions;
use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::UpstreamMeta;

const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Within a region a connection takes a few milliseconds, on busy hosts some tens.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest idle time of a connection that is reused for a retryable request.
const RETRYABLE_MAX_IDLE: Duration = Duration::from_secs(3);

/// The same for a request that cannot be retried: if the connection has died meanwhile, the request is lost.
const NON_RETRYABLE_MAX_IDLE: Duration = Duration::from_millis(700);

/// Sends a request to an endpoint and waits for the head of an answer that belongs to the request.
pub(super) async fn attempt(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    endpoint: &ServingEndpoint,
    options: &AttemptOptions<'_>,
) -> Result<(RelayHead, RelayBody), AttemptFailure> {
    let left = req.deadline.since(gw.now());
    let upstream = UpstreamMeta {
        endpoint: &endpoint.id,
        left: Millis::new(left.as_millis() as u64),
        account: req.account.as_ref(),
        priority: options.priority,
        inputs: options.inputs,
        resume_after: options.resume_after,
    };
    let retryable = req.route.kind.is_repeatable();
    let call = RelayCall {
        addr: endpoint.address,
        method: req.method.clone(),
        target: req.target.clone(),
        headers: (gw.front_end.upstream_headers)(&req.headers, &upstream),
        body: req.body.clone(),
        connect_timeout: connect_timeout(req).min(left),
        max_idle: if retryable { RETRYABLE_MAX_IDLE } else { NON_RETRYABLE_MAX_IDLE },
    };
    let timeout = options.timeout.min(left);
    let started = gw.now();
    gw.record_request(endpoint);
    let sent = monoio::time::timeout(timeout, gw.pool.send(call)).await;
    if let Ok(answer) = &sent {
        gw.record_reachability(endpoint, answer.as_ref().err());
    }
    let now = gw.now();
    let failure = match sent {
        Ok(Ok((head, body))) => return check_answer(gw, req, endpoint, started, head, body),
        Ok(Err(e)) if e.may_have_sent() => AttemptFailure::Unknown(e.to_string().into()),
        Ok(Err(e)) if e.is_refused() => {
            gw.suspect_restart(endpoint);
            AttemptFailure::Refused(e.to_string().into())
        }
        Ok(Err(e)) => AttemptFailure::NotSent(e.to_string().into()),
        Err(_) => {
            gw.pool.evict(endpoint.address);
            let waited = now.since(started).as_millis();
            AttemptFailure::TimedOut(format!("no answer within {waited} ms").into())
        }
    };
    gw.with_health(&endpoint.id, |health| health.record_unanswered(now));
    Err(failure)
}

/// Returns the connect timeout: half the objective, so that another endpoint can still answer on time.
fn connect_timeout(req: &ClientRequest) -> Duration {
    (req.route.objective.duration() / 2).clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
}

fn check_answer(
    gw: &Gateway,
    req: &ClientRequest,
    endpoint: &ServingEndpoint,
    sent_at: Timestamp,
    head: RelayHead,
    body: RelayBody,
) -> Result<(RelayHead, RelayBody), AttemptFailure> {
    let meta = (gw.front_end.read_answer)(head.status, &head.headers);
    gw.record_answer(endpoint, &meta);
    // Dropping the body closes its connection and discards whatever else it holds.
    match &meta.call {
        Some(call) if *call == req.meta.call => {}
        Some(_) => {
            return Err(AttemptFailure::Unknown("the answer belongs to another request".into()));
        }
        None => return Err(AttemptFailure::Unknown("the answer names no request".into())),
    }
    gw.record_pause(endpoint, &meta, sent_at);
    if !meta.is_other_endpoint {
        gw.record_limit(endpoint, meta.limit, sent_at);
    }
    let now = gw.now();
    if meta.not_run || meta.is_other_endpoint {
        gw.with_health(&endpoint.id, |health| match meta.is_other_endpoint {
            true => health.record_unanswered(now),
            false => health.record_full(now),
        });
        let detail = format!("status {}", head.status).into();
        return Err(AttemptFailure::NotRun(meta, detail));
    }
    if meta.reads_as_not_run && !meta.signed {
        // The client would send the request again, which may have run.
        let detail = format!("status {} does not say that the request has not run", head.status);
        return Err(AttemptFailure::Unknown(detail.into()));
    }
    if head.status.is_success() && !meta.signed {
        return Err(AttemptFailure::Unknown("the answer is not signed".into()));
    }
    Ok((head, body))
}
