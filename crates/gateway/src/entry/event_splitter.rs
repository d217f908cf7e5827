use bytes::BytesMut;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::{AnswerRoom, RoomShare};

use super::stream_event::StreamEvent;

const MAX_EVENT_BYTES: usize = 1 << 20;

/// The length of CRLF CRLF, the longest blank line with the end of the line before it.
const MAX_BLANK_LINE_BYTES: usize = 4;

/// Splits a stream into events, so that only complete events are forwarded.
#[derive(Debug)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Covers `buf`.
    share: RoomShare,
    /// No event ends within so many bytes.
    scanned: usize,
}

impl EventSplitter {
    pub(super) fn new(room: &AnswerRoom) -> Self {
        Self { buf: BytesMut::new(), share: room.share(), scanned: 0 }
    }

    /// Appends a chunk. Returns false if there is no room for it.
    pub(super) fn push(&mut self, chunk: &[u8]) -> bool {
        let has_room = self.share.resize(ByteCount::new((self.buf.len() + chunk.len()) as u64));
        if has_room {
            self.buf.extend_from_slice(chunk);
        }
        has_room
    }

    /// Takes the next complete event.
    pub(super) fn next_event(&mut self) -> Option<StreamEvent> {
        // The blank line may have begun in the bytes that were scanned before.
        let from = self.scanned.saturating_sub(MAX_BLANK_LINE_BYTES - 1);
        let Some(end) = find_blank_line(&self.buf[from..]) else {
            self.scanned = self.buf.len();
            // A smaller share always fits.
            self.share.resize(ByteCount::new(self.buf.len() as u64));
            return None;
        };
        self.scanned = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        let (id, has_fields) = (event_id(&bytes), has_fields(&bytes));
        Some(StreamEvent { bytes, id, has_fields })
    }

    /// Returns the bytes after the last complete event.
    pub(super) fn remainder(&self) -> &[u8] {
        &self.buf
    }

    /// Returns whether the pending event exceeds the size limit.
    pub(super) fn is_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }
}

/// Returns the end of the first blank line; lines may end with LF or CRLF.
fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    // Both kinds are sought in one pass: a search for one of them would go on to the end of the buffer for each event.
    line_ends.map(|(at, _)| at).find_map(|at| {
        let is_crlf = at > 0 && bytes[at - 1] == b'\r';
        match &bytes[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] if is_crlf => Some(at + 3),
            _ => None,
        }
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}

fn has_fields(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n' || *byte == b'\r');
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}
