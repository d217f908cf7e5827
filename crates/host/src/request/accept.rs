//! Validates the request of a caller. Every rejection is a problem document that names the field.

use http::header::{ACCEPT, AUTHORIZATION};
use masticstair_core::bundle::{Account, Pipeline, StageKind};
use masticstair_core::endpoint_api::{DEADLINE_HEADER, TRACEPARENT_HEADER};
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_net::http::server::Request;
use rand::Rng;
use serde_json::Value;
use serde_json::value::{RawValue, to_raw_value};
use std::time::Duration;

use super::CallerRequest;
use crate::state::{BundleInForce, HostState};

/// Carries the idempotency key: requests of an account with the same key run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

pub(super) fn accept_request(
    state: &HostState,
    arrived: Timestamp,
    pipeline: &str,
    req: &Request,
) -> Result<CallerRequest, Problem> {
    let config = state
        .serving()
        .map_err(|e| Problem::not_run(503, "not-serving", e.to_string()).with_retry_after(1))?;
    let account = authenticate(&config, req)?.clone();
    let pipeline = find_pipeline(&config, pipeline)?.clone();
    let timeout = read_deadline(&pipeline, req)?;
    let key = read_key(&pipeline, req)?;
    let body = read_json(&req.body)?;
    let streamable = pipeline.stages.last().is_some_and(|s| s.kind == StageKind::Generate);
    let stream = streamable && wants_stream(req);
    Ok(CallerRequest {
        id: RequestId::random(),
        config,
        account,
        pipeline,
        arrived,
        deadline: arrived.plus(timeout),
        key,
        body_digest: Sha256Digest::of(&req.body),
        body,
        stream,
        trace: read_trace(state, req),
    })
}

/// Parses the body into a value before it is kept as text. This limits the nesting depth and removes
/// duplicate keys, which the text would otherwise carry on to the endpoints.
fn read_json(body: &[u8]) -> Result<Box<RawValue>, Problem> {
    let text = serde_json::from_slice::<Value>(body).and_then(|body| to_raw_value(&body));
    text.map_err(|e| {
        Problem::not_run(400, "body-malformed", format!("the body is not JSON: {e}"))
            .with_field("body")
    })
}

fn authenticate<'a>(config: &'a BundleInForce, req: &Request) -> Result<&'a Account, Problem> {
    let refuse =
        |detail: &str| Problem::not_run(401, "unauthorized", detail).with_field("authorization");
    let header = req.header(AUTHORIZATION.as_str()).ok_or_else(|| refuse("no bearer token"))?;
    let token = header.strip_prefix("Bearer ").ok_or_else(|| refuse("not a bearer token"))?;
    let digest = Sha256Digest::of(token.as_bytes());
    config.bundle.account_by_token(&digest).ok_or_else(|| refuse("the token is not known"))
}

fn find_pipeline<'a>(config: &'a BundleInForce, name: &str) -> Result<&'a Pipeline, Problem> {
    let found = name.parse().ok().and_then(|name| config.bundle.pipeline(&name));
    found.ok_or_else(|| {
        let detail = format!("there is no pipeline {name:?} in revision {}", config.revision);
        Problem::not_run(404, "pipeline-unknown", detail).with_field("pipeline")
    })
}

fn read_deadline(pipeline: &Pipeline, req: &Request) -> Result<Duration, Problem> {
    let Some(value) = req.head.headers.get(DEADLINE_HEADER) else {
        return Ok(pipeline.deadline.duration());
    };
    let max = pipeline.max_deadline;
    let parsed = value.to_str().ok().and_then(|v| v.parse::<Millis>().ok());
    match parsed.filter(|ms| ms.get() >= 1 && *ms <= max) {
        Some(ms) => Ok(ms.duration()),
        None => {
            let detail = format!("the deadline {value:?} is not a whole number from 1 to {max}");
            Err(Problem::not_run(400, "deadline-invalid", detail).with_field(DEADLINE_HEADER))
        }
    }
}

fn read_key(pipeline: &Pipeline, req: &Request) -> Result<Option<IdempotencyKey>, Problem> {
    if pipeline.is_idempotent() {
        return Ok(None);
    }
    let Some(value) = req.head.headers.get(IDEMPOTENCY_KEY_HEADER) else {
        let detail = format!("pipeline {} has a stage that must not be repeated", pipeline.name);
        return Err(Problem::not_run(400, "key-missing", detail).with_field(IDEMPOTENCY_KEY_HEADER));
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    text.parse().map(Some).map_err(|e: masticstair_core::id::IdempotencyKeyError| {
        Problem::not_run(400, "key-invalid", e.to_string()).with_field(IDEMPOTENCY_KEY_HEADER)
    })
}

fn wants_stream(req: &Request) -> bool {
    req.header(ACCEPT.as_str()).is_some_and(|v| v.contains("text/event-stream"))
}

fn read_trace(state: &HostState, req: &Request) -> TraceParent {
    let given = req.header(TRACEPARENT_HEADER).and_then(|v| v.parse().ok());
    given.unwrap_or_else(|| TraceParent {
        sampled: rand::rng().random_range(0..100) < state.cfg.trace_percent,
        ..TraceParent::random()
    })
}
