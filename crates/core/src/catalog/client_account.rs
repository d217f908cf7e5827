use smallvec::SmallVec;

use crate::id::AccountId;
use crate::unit::Sha256Digest;

/// A client account of a catalog.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    /// Its name, which endpoints are told.
    pub name: AccountId,
    /// The digests of its keys; the keys themselves are kept nowhere but in the document.
    pub keys: SmallVec<[Sha256Digest; 2]>,
    /// Goes before the priority of a route; 0 is the most urgent.
    pub priority: Option<u8>,
}
