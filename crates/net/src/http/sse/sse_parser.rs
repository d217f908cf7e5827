use masticstair_core::prelude::*;

use super::{SseError, SseEvent};

/// Splits a byte stream into events. Chunks may end anywhere, also within a line.
///
/// Unlike the specification, it does not accept CR alone as a line ending, and it ignores `id` and `retry`.
#[derive(Debug)]
pub struct SseParser {
    /// Bytes that were not returned as events yet; at most `limit`.
    buf: Vec<u8>,
    /// No event ends within so many bytes of `buf`.
    scanned: usize,
    limit: ByteCount,
}

/// The length of CRLF CRLF, the longest end of an event.
const MAX_END_BYTES: usize = 4;

impl SseParser {
    /// Creates a parser that buffers at most `limit` bytes.
    pub fn new(limit: ByteCount) -> Self {
        Self { buf: Vec::new(), scanned: 0, limit }
    }

    /// Appends a chunk of the stream. Call `next_event` until it returns `None` before the next chunk.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` if the buffered data would exceed the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), SseError> {
        if (self.buf.len() + chunk.len()) as u64 > self.limit.get() {
            return Err(SseError::TooLarge(self.limit));
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Removes and returns the next complete event; `None` if more data is needed.
    ///
    /// # Errors
    ///
    /// Returns `Encoding` if the event is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        // The end may have begun in the bytes that were scanned before.
        while let Some((len, rest)) =
            find_event_end(&self.buf, self.scanned.saturating_sub(MAX_END_BYTES - 1))
        {
            self.scanned = 0;
            let block: Vec<u8> = self.buf.drain(..rest).collect();
            let text = std::str::from_utf8(&block[..len]).map_err(|_| SseError::Encoding)?;
            if let Some(event) = parse_event(text) {
                return Ok(Some(event));
            }
        }
        self.scanned = self.buf.len();
        Ok(None)
    }
}

/// Returns the length of the first event and the offset of the bytes after its terminating empty line, which does not
/// begin before `from`.
fn find_event_end(buf: &[u8], from: usize) -> Option<(usize, usize)> {
    (from..buf.len()).find_map(|i| {
        let tail = &buf[i..];
        if tail.starts_with(b"\n\n") {
            Some((i, i + 2))
        } else if tail.starts_with(b"\r\n\r\n") {
            Some((i, i + 4))
        } else {
            None
        }
    })
}

/// Parses the lines of one event; returns `None` if it has no `data` line, e.g. for comments.
fn parse_event(text: &str) -> Option<SseEvent> {
    let mut name = "message";
    let mut data: Vec<&str> = Vec::new();
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => name = value,
            "data" => data.push(value),
            _ => {}
        }
    }
    if data.is_empty() {
        return None;
    }
    Some(SseEvent { name: name.into(), data: data.join("\n").into() })
}
