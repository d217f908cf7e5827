use masticstair_core::prelude::*;
use std::collections::HashMap;

use super::split::split;
use super::{ContentPart, MAX_CONTENT_SIZE};

/// The delta between two bundle documents.
///
/// A change of one account in 37,000 takes a few kilobytes in the log and between hosts instead of the whole
/// document. The operator signs the digest of the whole document, so a host may replace a submitted
/// document by a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContentChange {
    /// The digest of the document that the change applies to.
    pub base: Sha256Digest,
    /// The digest of the resulting document.
    pub digest: Sha256Digest,
    /// The parts of the resulting document, in order.
    pub parts: Box<[ContentPart]>,
}

impl ContentChange {
    /// Computes the change that turns `base` into `new`.
    pub fn between(base: &str, new: &str) -> Self {
        let mut offsets = HashMap::new();
        let mut offset = 0;
        for chunk in split(base) {
            offsets.entry(chunk).or_insert(offset);
            offset += chunk.len();
        }
        let mut parts = Vec::new();
        split(new).for_each(|chunk| append(&mut parts, chunk, offsets.get(chunk).copied()));
        let [base, digest] = [base, new].map(|text| Sha256Digest::of(text.as_bytes()));
        Self { base, digest, parts: parts.into() }
    }

    /// Applies the change. Returns `None` when it does not fit `base`, or when the result has another digest
    /// or is larger than `MAX_CONTENT_SIZE`.
    pub fn apply(&self, base: &str) -> Option<Box<str>> {
        let mut content = String::new();
        for part in &self.parts {
            let text = match part {
                ContentPart::Text(text) => text,
                ContentPart::Base { offset, length } => {
                    let start = usize::try_from(offset.get()).ok()?;
                    let end = start.checked_add(usize::try_from(length.get()).ok()?)?;
                    base.get(start..end)?
                }
            };
            if content.len() + text.len() > MAX_CONTENT_SIZE.get() as usize {
                return None;
            }
            content.push_str(text);
        }
        (Sha256Digest::of(content.as_bytes()) == self.digest).then(|| content.into())
    }
}

/// Appends a chunk of new text or, with an `offset`, of the base; merges it with the last part where they
/// are contiguous.
fn append(parts: &mut Vec<ContentPart>, chunk: &str, offset: Option<usize>) {
    let chunk_len = chunk.len() as u64;
    match (parts.last_mut(), offset.map(|offset| offset as u64)) {
        (Some(ContentPart::Base { offset, length }), Some(at))
            if offset.get() + length.get() == at =>
        {
            *length = ByteCount::new(length.get() + chunk_len);
        }
        (_, Some(at)) => {
            let (offset, length) = (ByteCount::new(at), ByteCount::new(chunk_len));
            parts.push(ContentPart::Base { offset, length });
        }
        (Some(ContentPart::Text(text)), None) => *text = [text, chunk].concat().into(),
        (_, None) => parts.push(ContentPart::Text(chunk.into())),
    }
}
