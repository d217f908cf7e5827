use bytes::BytesMut;

use super::stream_event::StreamEvent;

const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into events, so that only complete events are forwarded.
#[derive(Debug, Default)]
pub(super) struct EventSplitter(BytesMut);

impl EventSplitter {
    pub(super) fn push(&mut self, chunk: &[u8]) {
        self.0.extend_from_slice(chunk);
    }

    /// Takes the next complete event.
    pub(super) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = find_blank_line(&self.0)?;
        let bytes = self.0.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the bytes after the last complete event.
    pub(super) fn remainder(&self) -> &[u8] {
        &self.0
    }

    /// Returns whether the pending event exceeds the size limit.
    pub(super) fn is_too_long(&self) -> bool {
        self.0.len() > MAX_EVENT_BYTES
    }
}

/// Returns the end of the first blank line; lines may end with LF or CRLF.
fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    let ends: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
    let found = ends.iter().filter_map(|end| {
        bytes.windows(end.len()).position(|window| window == *end).map(|at| at + end.len())
    });
    found.min()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
