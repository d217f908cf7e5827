//! Sends one request of a trace as a caller would.

use bytes::Bytes;
use http::header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use masticstair_core::endpoint_api::DEADLINE_HEADER;
use masticstair_core::prelude::*;
use masticstair_host::request::Answer;
use masticstair_net::http::client::{Call, ConnectionPool};
use monoio::time::Instant;
use std::net::SocketAddr;

use super::CallOutcome;
use super::stream_check::read_stream;
use crate::trace::TraceRecord;

/// How long a caller waits beyond the deadline before it gives up.
const GRACE: Millis = Millis::new(2_000);

/// What the caller saw and when the first token came.
pub(super) struct Seen {
    pub(super) outcome: CallOutcome,
    pub(super) first_token: Option<Instant>,
}

pub(super) async fn send_record(
    pool: &ConnectionPool,
    addr: SocketAddr,
    token: &str,
    record: &TraceRecord,
) -> Seen {
    let timeout = Millis::new(record.deadline_ms.get() + GRACE.get());
    let call = Call {
        addr,
        method: Method::POST,
        path: format!("/v1/pipelines/{}", record.pipeline).into(),
        headers: build_headers(token, record),
        body: Bytes::from(record.body.to_string()),
        timeout,
        reuse: record.key.is_none(),
    };
    if record.stream {
        let read = read_stream(pool, call);
        return monoio::time::timeout(timeout.duration(), read).await.unwrap_or_else(|_| Seen {
            outcome: CallOutcome::Broken("no end of the stream in time".into()),
            first_token: None,
        });
    }
    let outcome = match pool.fetch(call).await {
        Err(e) => CallOutcome::Broken(e.to_string().into()),
        Ok((head, body)) if head.status.is_success() => {
            let replayed = head.headers.contains_key("idempotent-replayed");
            read_answer(&body, replayed)
        }
        Ok((_, body)) => read_problem(&body),
    };
    Seen { outcome, first_token: None }
}

pub(super) fn read_problem(body: &[u8]) -> CallOutcome {
    match serde_json::from_slice::<Problem>(body) {
        Ok(problem) => CallOutcome::Refused(problem),
        Err(e) => CallOutcome::Broken(format!("no problem document: {e}").into()),
    }
}

fn read_answer(body: &[u8], replayed: bool) -> CallOutcome {
    match serde_json::from_slice::<Answer>(body) {
        Ok(answer) => CallOutcome::Complete {
            text: answer.output.to_string().into(),
            cost: answer.cost,
            replayed,
        },
        Err(e) => CallOutcome::Broken(format!("no answer document: {e}").into()),
    }
}

fn build_headers(token: &str, record: &TraceRecord) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let mut set = |name: HeaderName, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    };
    set(AUTHORIZATION, format!("Bearer {token}"));
    set(CONTENT_TYPE, "application/json".to_owned());
    set(HeaderName::from_static(DEADLINE_HEADER), record.deadline_ms.to_string());
    if record.stream {
        set(ACCEPT, "text/event-stream".to_owned());
    }
    if let Some(key) = &record.key {
        set(HeaderName::from_static("idempotency-key"), key.to_string());
    }
    headers
}
