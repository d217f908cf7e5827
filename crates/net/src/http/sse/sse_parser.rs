use masticstair_core::prelude::*;

use super::{SseError, SseEvent};

/// Cuts a byte stream into events; pieces may end anywhere.
#[derive(Debug)]
pub struct SseParser {
    /// Bytes of the event that is not complete; at most `limit`.
    buf: Vec<u8>,
    limit: ByteCount,
}

impl SseParser {
    /// Makes a parser that refuses events larger than `limit`.
    pub fn new(limit: ByteCount) -> Self {
        Self { buf: Vec::new(), limit }
    }

    /// Adds a piece of the stream.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` when an event without an end is larger than the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), SseError> {
        if (self.buf.len() + chunk.len()) as u64 > self.limit.get() {
            return Err(SseError::TooLarge(self.limit));
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    /// Takes the next complete event.
    ///
    /// # Errors
    ///
    /// Returns `Encoding` when the event is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        while let Some((len, rest)) = find_event_end(&self.buf) {
            let block: Vec<u8> = self.buf.drain(..rest).collect();
            let text = std::str::from_utf8(&block[..len]).map_err(|_| SseError::Encoding)?;
            if let Some(event) = parse_event(text) {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }
}

/// Returns the length of the first event and where the bytes after its empty line begin.
fn find_event_end(buf: &[u8]) -> Option<(usize, usize)> {
    (0..buf.len()).find_map(|i| {
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

/// Returns `None` for a block of comments only.
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
