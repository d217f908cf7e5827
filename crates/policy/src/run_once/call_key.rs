use masticstair_core::prelude::*;

use super::CallDigest;

/// The account and the key under which a call runs at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallKey {
    /// The account that sent the key; accounts do not share keys.
    pub account: AccountId,
    /// The key as the caller wrote it.
    pub key: IdempotencyKey,
}

impl CallKey {
    /// Returns the digest under which the table files the call.
    pub fn digest(&self) -> CallDigest {
        // An account has no NUL character, so no other pair gives the same text.
        let text = format!("{}\0{}", self.account, self.key);
        CallDigest::truncate(&Sha256Digest::of(text.as_bytes()))
    }
}
