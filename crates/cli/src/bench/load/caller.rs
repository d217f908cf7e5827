use bytes::Bytes;
use http::header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method};
use masticstair_core::bundle::StageKind;
use masticstair_core::prelude::*;
use masticstair_net::http::client::Call;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// How long a caller waits for the head of an answer.
const TIMEOUT: Millis = Millis::new(30_000);

/// A caller of one pipeline.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The host.
    pub host: SocketAddr,
    /// The pipeline.
    pub pipeline: &'static str,
    /// The bearer token.
    pub token: &'static str,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Caller {
    /// Makes the call of a request.
    pub fn call(&self, number: usize) -> Call {
        let mut headers = HeaderMap::new();
        if let Ok(token) = HeaderValue::from_str(&format!("Bearer {}", self.token)) {
            headers.insert(AUTHORIZATION, token);
        }
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.stream {
            headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
        }
        let path = format!("/v1/pipelines/{}", self.pipeline);
        post(self.host, path, headers, make_input(number).to_string())
    }
}

/// Makes the call that a host makes to an endpoint, for a caller that goes there directly.
pub fn direct_call(endpoint: SocketAddr, kind: StageKind, number: usize, stream: bool) -> Call {
    let run = json!({
        "request_id": RequestId::random(), "attempt_id": 1, "pipeline": "one", "stage": "only",
        "kind": kind.as_str(), "account": "caller", "input": make_input(number), "stream": stream,
    });
    post(endpoint, "/v1/run".to_owned(), HeaderMap::new(), run.to_string())
}

/// Makes a prompt of a usual size.
fn make_input(number: usize) -> Value {
    let prompt = "Which profiles fit a span of four metres under a snow load of two kilonewtons? ";
    json!({ "topic": format!("request-{number}"), "prompt": prompt.repeat(4) })
}

fn post(addr: SocketAddr, path: String, headers: HeaderMap, body: String) -> Call {
    Call {
        addr,
        method: Method::POST,
        path: path.into(),
        headers,
        body: Bytes::from(body),
        timeout: TIMEOUT,
        reuse: true,
    }
}
