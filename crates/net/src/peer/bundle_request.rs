use masticstair_core::id::Revision;

/// A question for a piece of a bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BundleRequest {
    /// The revision.
    pub revision: Revision,
    /// Where the piece begins, in bytes.
    pub offset: u64,
}
