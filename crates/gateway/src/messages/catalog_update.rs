use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};

/// Fast enough to be done for each new catalog; most of a catalog is found in the one before.
const COMPRESSION_LEVEL: i32 = 1;

/// The largest document that is accepted.
const MAX_DOCUMENT_BYTES: u64 = 16 << 20;

/// The smallest and the largest window of the compression, as powers of 2.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=25;

/// A catalog document, compressed with an earlier one as its dictionary (Zstandard, RFC 8878). A change of some routes
/// takes some hundred bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogUpdate {
    /// The version of the earlier document; 0 if there is none.
    pub base: CatalogVersion,
    /// The compressed document, with a checksum.
    pub content: Vec<u8>,
}

impl CatalogUpdate {
    /// Compresses a document. `base` is empty for version 0.
    ///
    /// # Errors
    ///
    /// Returns the error of the compressor.
    pub fn encode(version: CatalogVersion, base: &[u8], document: &[u8]) -> io::Result<Self> {
        let mut encoder =
            zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
        let reach = (base.len() + document.len()).max(1);
        // The window has to reach back over the base.
        encoder.window_log((reach.ilog2() + 1).clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end()))?;
        // The tables of a fast level cover only a part of a large base.
        encoder.long_distance_matching(true)?;
        encoder.include_checksum(true)?;
        encoder.set_pledged_src_size(Some(document.len() as u64))?;
        encoder.write_all(document)?;
        Ok(Self { base: version, content: encoder.finish()? })
    }

    /// Restores the document from the one of version `base`.
    ///
    /// # Errors
    ///
    /// Fails if the content is damaged, was made from another base, or is too long.
    pub fn decode(&self, base: &[u8]) -> io::Result<Vec<u8>> {
        let decoder =
            zstd::stream::read::Decoder::with_ref_prefix(io::Cursor::new(&self.content), base)?;
        let mut document = Vec::new();
        decoder.take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut document)?;
        if document.len() as u64 > MAX_DOCUMENT_BYTES {
            let limit = ByteCount::new(MAX_DOCUMENT_BYTES);
            return Err(io::Error::other(format!("the document exceeds {limit} bytes")));
        }
        Ok(document)
    }
}
