use masticstair_core::id::Revision;

/// A request for one chunk of a bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BundleRequest {
    /// The revision of the bundle.
    pub revision: Revision,
    /// Offset of the chunk in bytes.
    pub offset: u64,
}
