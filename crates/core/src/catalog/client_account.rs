use smallvec::SmallVec;

use crate::id::AccountId;
use crate::unit::Sha256Digest;

/// A client account of a catalog.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    /// The account name that endpoints receive.
    pub name: AccountId,
    /// The SHA-256 digests of its API keys; only the document contains the keys themselves.
    pub keys: SmallVec<[Sha256Digest; 2]>,
    /// Takes precedence over the priority of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}
