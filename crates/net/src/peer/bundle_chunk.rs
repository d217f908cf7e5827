use masticstair_core::id::Revision;

/// A chunk of a signed bundle with its commit proof. The content is opaque to this crate.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BundleChunk {
    /// The revision; 0 if the host does not have the requested one.
    pub revision: Revision,
    /// Size of the complete content in bytes.
    pub size: u64,
    /// Offset of the chunk in bytes.
    pub offset: u64,
    /// The data, at most `BUNDLE_CHUNK_LIMIT_BYTES`; empty only at the end of the content.
    pub data: Box<[u8]>,
}
