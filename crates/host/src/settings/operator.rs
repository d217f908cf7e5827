use masticstair_core::bundle::{PublicKey, Right};
use masticstair_core::id::SignerName;
use smallvec::SmallVec;

/// An operator whose signature counts before a bundle names signers.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Unique in the settings.
    pub name: SignerName,
    /// The key that the operator's signatures are checked with.
    pub key: PublicKey,
    /// What the operator may do; not empty.
    pub may: SmallVec<[Right; 3]>,
}
