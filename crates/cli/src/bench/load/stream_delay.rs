use masticstair_core::prelude::*;
use masticstair_host::request::AnswerToken;
use masticstair_net::http::client::{Call, ConnectionPool};
use masticstair_net::http::sse::SseParser;
use masticstair_standins::stamp_age;
use std::time::Duration;

/// The largest event.
const MAX_EVENT: ByteCount = ByteCount::new(1_048_576);

/// What one stream delivered.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamCount {
    /// Tokens.
    pub tokens: usize,
    /// Tokens that came in one piece with the token before.
    pub joined: usize,
    /// Whether the last event came.
    pub whole: bool,
}

/// Reads a stream of stamped tokens; `on_token` gets the delay of each token since it was written.
pub async fn read_timed_stream(
    pool: &ConnectionPool,
    call: Call,
    mut on_token: impl FnMut(Duration),
) -> StreamCount {
    let mut count = StreamCount::default();
    let Ok((head, mut body)) = pool.send(call).await else { return count };
    if !head.status.is_success() {
        return count;
    }
    let mut parser = SseParser::new(MAX_EVENT);
    while let Ok(Some(piece)) = body.next().await {
        if parser.push(&piece).is_err() {
            return count;
        }
        let before = count.tokens;
        while let Ok(Some(event)) = parser.next_event() {
            if event.name.as_ref() == "end" {
                count.whole = true;
            }
            if event.name.as_ref() == "token"
                && let Ok(token) = serde_json::from_str::<AnswerToken>(&event.data)
            {
                count.tokens += 1;
                on_token(stamp_age(&token.text).unwrap_or_default());
            }
        }
        count.joined += (count.tokens - before).saturating_sub(1);
    }
    count
}
