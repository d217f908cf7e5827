use masticstair_core::id::Revision;

/// A piece of a signed bundle with its commit proof; the content is opaque.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BundleChunk {
    /// The revision; 0 when the host does not hold the one that was asked for.
    pub revision: Revision,
    /// The size of the whole content in bytes.
    pub size: u64,
    /// Where the piece begins.
    pub offset: u64,
    /// The piece; not empty before the end of the content.
    pub data: Box<[u8]>,
}
