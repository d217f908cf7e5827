//! Binary encoding of commands, replies, queries, answers and snapshots.
//!
//! The format is hand-written. JSON would escape and unescape bundle contents of several megabytes, and would
//! double the size of digests and signatures.

pub(super) mod bundle;
pub(super) mod bundle_reply;
pub(super) mod catalog;
mod codec_error;
pub(super) mod evacuation;
pub(super) mod issuer;
mod reader;
pub(super) mod run_once;
mod writer;

pub use codec_error::CodecError;
pub(super) use reader::Reader;
pub(super) use writer::Writer;

use masticstair_core::prelude::*;

/// The format version of messages; the first byte of each message.
pub(super) const FORMAT_VERSION: u8 = 1;

/// Encodes a message with the format version first.
pub(super) fn encode(put: impl FnOnce(&mut Writer)) -> Box<[u8]> {
    let mut w = Writer::default();
    w.byte(FORMAT_VERSION);
    put(&mut w);
    w.into_bytes()
}

/// Decodes a message; rejects an unsupported format version and trailing bytes.
pub(super) fn decode<T>(
    bytes: &[u8],
    get: impl FnOnce(&mut Reader<'_>) -> Result<T, CodecError>,
) -> Result<T, CodecError> {
    let mut r = Reader::new(bytes);
    match r.byte()? {
        FORMAT_VERSION => {}
        found => return Err(CodecError::Version { found, known: FORMAT_VERSION }),
    }
    let value = get(&mut r)?;
    r.finish()?;
    Ok(value)
}

fn put_digest(w: &mut Writer, digest: &Sha256Digest) {
    w.fixed(digest.as_bytes());
}

pub(super) fn get_digest(r: &mut Reader<'_>) -> Result<Sha256Digest, CodecError> {
    r.fixed().map(Sha256Digest::from_bytes)
}
