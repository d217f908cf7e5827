//! Reads a streamed answer and checks that it is whole.

use masticstair_core::prelude::*;
use masticstair_host::request::{AnswerEnd, AnswerToken};
use masticstair_net::http::client::{Call, ClientBody, ConnectionPool};
use masticstair_net::http::sse::{SseEvent, SseParser};
use monoio::time::Instant;

use super::CallOutcome;
use super::client::{Seen, read_problem};

/// The largest event that a host sends.
const MAX_EVENT: ByteCount = ByteCount::new(1_048_576);

/// The answer so far.
#[derive(Default)]
struct Received {
    text: String,
    tokens: u64,
    first_token: Option<Instant>,
}

pub(super) async fn read_stream(pool: &ConnectionPool, call: Call) -> Seen {
    let mut received = Received::default();
    let outcome = match pool.send(call).await {
        Err(e) => CallOutcome::Broken(e.to_string().into()),
        Ok((head, body)) if head.status.is_success() => read_events(body, &mut received).await,
        Ok((_, body)) => read_problem(&body.read_all().await.unwrap_or_default()),
    };
    Seen { outcome, first_token: received.first_token }
}

async fn read_events(mut body: ClientBody, received: &mut Received) -> CallOutcome {
    let mut parser = SseParser::new(MAX_EVENT);
    loop {
        match parser.next_event() {
            Ok(Some(event)) => {
                if let Some(outcome) = take_event(&event, received) {
                    return outcome;
                }
                continue;
            }
            Ok(None) => {}
            Err(e) => return CallOutcome::Broken(e.to_string().into()),
        }
        match body.next().await {
            Ok(Some(piece)) => {
                if let Err(e) = parser.push(&piece) {
                    return CallOutcome::Broken(e.to_string().into());
                }
            }
            Ok(None) => return CallOutcome::Broken("the stream has no end event".into()),
            Err(e) => return CallOutcome::Broken(e.to_string().into()),
        }
    }
}

/// Returns the outcome when the event was the last one.
fn take_event(event: &SseEvent, received: &mut Received) -> Option<CallOutcome> {
    match event.name.as_ref() {
        "token" => match serde_json::from_str::<AnswerToken>(&event.data) {
            Ok(token) if token.index.get() == received.tokens => {
                received.first_token.get_or_insert_with(Instant::now);
                received.tokens += 1;
                received.text.push_str(&token.text);
                None
            }
            _ => Some(CallOutcome::Broken("a token is missing, doubled or malformed".into())),
        },
        "error" => Some(read_problem(event.data.as_bytes())),
        "end" => Some(check_end(&event.data, received)),
        _ => None,
    }
}

fn check_end(data: &str, received: &mut Received) -> CallOutcome {
    let Ok(end) = serde_json::from_str::<AnswerEnd>(data) else {
        return CallOutcome::Broken("the end event is malformed".into());
    };
    let whole = end.tokens.get() == received.tokens
        && end.length.get() == received.text.len() as u64
        && end.sha256 == Sha256Digest::of(received.text.as_bytes());
    if !whole {
        return CallOutcome::Broken("the end event does not fit the tokens".into());
    }
    let text = std::mem::take(&mut received.text).into();
    CallOutcome::Complete { text, cost: end.cost, replayed: false }
}
