//! Chunks of bundles.

use crate::generated::peer_capnp::bundle_chunk;
use crate::peer::limits::BUNDLE_CHUNK_LIMIT_BYTES;
use crate::peer::{BundleChunk, DecodeError};
use masticstair_core::id::Revision;

pub(crate) fn write_chunk(mut out: bundle_chunk::Builder<'_>, chunk: &BundleChunk) {
    out.set_revision(chunk.revision.get());
    out.set_size(chunk.size);
    out.set_offset(chunk.offset);
    out.set_data(&chunk.data);
}

pub(crate) fn read_chunk(chunk: bundle_chunk::Reader<'_>) -> Result<BundleChunk, DecodeError> {
    let data = chunk.get_data()?;
    if data.len() > BUNDLE_CHUNK_LIMIT_BYTES {
        return Err(DecodeError::value(
            "bundle data",
            format_args!("{} bytes (at most {BUNDLE_CHUNK_LIMIT_BYTES} are allowed)", data.len()),
        ));
    }
    Ok(BundleChunk {
        revision: Revision::new(chunk.get_revision()),
        size: chunk.get_size(),
        offset: chunk.get_offset(),
        data: data.into(),
    })
}
