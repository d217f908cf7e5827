use masticstair_core::prelude::*;

use super::CallDigest;

/// The account and the key under which a call runs at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallKey {
    /// The account that sent the key; equal keys of two accounts are different calls.
    pub account: AccountId,
    /// The key as the client sent it.
    pub key: IdempotencyKey,
}

impl CallKey {
    /// Returns the digest by which the table indexes the call.
    pub fn digest(&self) -> CallDigest {
        // An account id has no NUL character, so no other pair produces the same text.
        let text = format!("{}\0{}", self.account, self.key);
        CallDigest::truncate(&Sha256Digest::of(text.as_bytes()))
    }
}
