use smallvec::SmallVec;

use super::{PublicKey, Right};
use crate::id::SignerName;

/// An operator who may sign bundle commands.
#[derive(Clone, Debug)]
pub struct Signer {
    /// Unique in the bundle.
    pub name: SignerName,
    /// Verifies the operator's signatures.
    pub key: PublicKey,
    /// The operator's permissions; not empty.
    pub may: SmallVec<[Right; 3]>,
}
