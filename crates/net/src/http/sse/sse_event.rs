use bytes::Bytes;
use serde::Serialize;

/// One server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SseEvent {
    /// The event type; `message` if the stream does not name one.
    pub name: Box<str>,
    /// The data; several `data` lines are joined with line feeds.
    pub data: Box<str>,
}

impl SseEvent {
    /// Encodes an event with `data` as JSON on a single line.
    pub fn encode_json(name: &str, data: &impl Serialize) -> Bytes {
        // Serialization fails only for maps with non-string keys, which no event type contains.
        let json = serde_json::to_string(data).unwrap_or_default();
        format!("event: {name}\ndata: {json}\n\n").into()
    }
}
