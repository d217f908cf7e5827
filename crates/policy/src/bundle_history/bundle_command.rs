use super::{BundleAction, SignedHeader};

/// A signed operator command to the bundle history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BundleCommand {
    /// The signer, expected revision and signature.
    pub header: SignedHeader,
    /// The operation that the signature covers.
    pub action: BundleAction,
}
