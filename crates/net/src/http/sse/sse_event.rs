use bytes::Bytes;
use serde::Serialize;

/// One server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SseEvent {
    /// The type of the event; `message` when the sender named none.
    pub name: Box<str>,
    /// The data; lines are joined by a line feed.
    pub data: Box<str>,
}

impl SseEvent {
    /// Encodes an event whose data is JSON on one line.
    pub fn encode_json(name: &str, data: &impl Serialize) -> Bytes {
        // Only a map with keys that are no texts fails, which no event type has.
        let json = serde_json::to_string(data).unwrap_or_default();
        format!("event: {name}\ndata: {json}\n\n").into()
    }
}
