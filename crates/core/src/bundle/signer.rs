use smallvec::SmallVec;

use super::{PublicKey, Right};
use crate::id::SignerName;

/// An operator whose signature is accepted.
#[derive(Clone, Debug)]
pub struct Signer {
    /// Unique in the bundle.
    pub name: SignerName,
    /// The key that the operator's signatures are checked with.
    pub key: PublicKey,
    /// What the operator may do; not empty.
    pub may: SmallVec<[Right; 3]>,
}
