use masticstair_core::prelude::*;
use masticstair_net::http::relay::{RelayBody, RelayCall, RelayHead};
use masticstair_policy::directory::ServingEndpoint;
use std::rc::Rc;
use std::time::Duration;

use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{AnswerMeta, UpstreamTerms};

/// How long a connection to an endpoint may take at the most.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// The least of that limit: within a region a connection takes some milliseconds, on busy hosts some tens.
const MIN_CONNECT_LIMIT: Duration = Duration::from_millis(100);

/// The longest idle time of a connection that is used again for a request that can be repeated.
const REPEATABLE_IDLE: Duration = Duration::from_secs(3);

/// The same for a request that cannot: a connection that died in the meantime would lose it.
const UNREPEATABLE_IDLE: Duration = Duration::from_millis(700);

/// How an attempt at an endpoint ended before an answer that is passed on.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The endpoint states that it did not run the request.
    NotRun(AnswerMeta, Box<str>),
    /// The request may have run.
    Unknown(Box<str>),
    /// As `Unknown`, because no answer came in time.
    Silent(Box<str>),
}

impl AttemptEnd {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not-sent",
            Self::NotRun(..) => "not-run",
            Self::Unknown(_) => "broken",
            Self::Silent(_) => "silent",
        }
    }

    pub(super) fn detail(&self) -> &str {
        match self {
            Self::NotSent(d) | Self::NotRun(_, d) | Self::Unknown(d) | Self::Silent(d) => d,
        }
    }
}

/// What an attempt adds to the request.
pub(super) struct AttemptTerms<'a> {
    pub(super) priority: Option<u8>,
    pub(super) inputs: Option<&'a [ResultHandle]>,
    pub(super) resume_after: Option<u64>,
    /// How long the head of the answer may take.
    pub(super) patience: Duration,
}

/// A request that an endpoint works on; counts until it is dropped.
pub(super) struct Working {
    gw: Rc<Gateway>,
    endpoint: EndpointId,
    /// Prompt tokens that the endpoint has not read.
    unread: u64,
}

impl Working {
    pub(super) fn new(gw: &Rc<Gateway>, endpoint: &EndpointId, unread: u64) -> Self {
        gw.with_health(endpoint, |health| {
            health.in_flight += 1;
            health.prompt_backlog += unread;
        });
        Self { gw: gw.clone(), endpoint: endpoint.clone(), unread }
    }

    /// Notes that the endpoint has read the prompt.
    pub(super) fn note_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        self.gw.with_health(&self.endpoint, |health| {
            health.prompt_backlog = health.prompt_backlog.saturating_sub(unread);
        });
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        self.note_read();
        self.gw.with_health(&self.endpoint, |health| {
            health.in_flight = health.in_flight.saturating_sub(1);
        });
    }
}

/// Sends a request to an endpoint and waits for the head of an answer that belongs to it.
pub(super) async fn attempt(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    endpoint: &ServingEndpoint,
    terms: &AttemptTerms<'_>,
) -> Result<(RelayHead, RelayBody), AttemptEnd> {
    let left = req.deadline.since(gw.now());
    let upstream = UpstreamTerms {
        endpoint: &endpoint.id,
        left: Millis::new(left.as_millis() as u64),
        account: req.account.as_ref(),
        priority: terms.priority,
        inputs: terms.inputs,
        resume_after: terms.resume_after,
    };
    let repeatable = req.route.kind.is_repeatable();
    let call = RelayCall {
        addr: endpoint.address,
        method: req.method.clone(),
        target: req.target.clone(),
        headers: (gw.front_end.upstream_headers)(&req.headers, &upstream),
        body: req.body.clone(),
        connect_timeout: connect_limit(req).min(left),
        max_idle: if repeatable { REPEATABLE_IDLE } else { UNREPEATABLE_IDLE },
    };
    let patience = terms.patience.min(left);
    let started = gw.now();
    let sent = monoio::time::timeout(patience, gw.pool.send(call)).await;
    if let Ok(answer) = &sent {
        gw.note_reach(endpoint, answer.as_ref().err());
    }
    let now = gw.now();
    let end = match sent {
        Ok(Ok((head, body))) => return check_answer(gw, req, endpoint, head, body),
        Ok(Err(e)) if e.may_have_sent() => AttemptEnd::Unknown(e.to_string().into()),
        Ok(Err(e)) => AttemptEnd::NotSent(e.to_string().into()),
        Err(_) => {
            gw.pool.forget(endpoint.address);
            let waited = now.since(started).as_millis();
            AttemptEnd::Silent(format!("no answer within {waited} ms").into())
        }
    };
    gw.with_health(&endpoint.id, |health| health.record_unanswered(now));
    Err(end)
}

/// Returns how long a connection may take: another endpoint shall still be able to answer on time.
fn connect_limit(req: &ClientRequest) -> Duration {
    (req.route.objective.duration() / 2).clamp(MIN_CONNECT_LIMIT, CONNECT_LIMIT)
}

fn check_answer(
    gw: &Gateway,
    req: &ClientRequest,
    endpoint: &ServingEndpoint,
    head: RelayHead,
    body: RelayBody,
) -> Result<(RelayHead, RelayBody), AttemptEnd> {
    let meta = (gw.front_end.read_answer)(head.status, &head.headers);
    if meta.call.as_ref().is_some_and(|call| *call != req.meta.call) {
        // The body is dropped with its connection; whatever else is on it belongs to nobody.
        return Err(AttemptEnd::Unknown("the answer belongs to another request".into()));
    }
    let now = gw.now();
    if meta.not_run || meta.is_other_endpoint {
        gw.with_health(&endpoint.id, |health| match meta.is_other_endpoint {
            true => health.record_unanswered(now),
            false => health.record_full(now),
        });
        let detail = format!("status {}", head.status).into();
        return Err(AttemptEnd::NotRun(meta, detail));
    }
    if head.status.is_success() && !meta.signed {
        return Err(AttemptEnd::Unknown("the answer is not signed".into()));
    }
    Ok((head, body))
}
