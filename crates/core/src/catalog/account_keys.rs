use std::collections::HashMap;

use super::{CatalogError, ClientAccount};
use crate::unit::Sha256Digest;

/// The accounts of a catalog, indexed by the digests of their API keys.
#[derive(Clone, Debug, Default)]
pub struct AccountKeys {
    accounts: Box<[ClientAccount]>,
    /// Indices into `accounts`; no key belongs to two accounts.
    by_key: HashMap<Sha256Digest, usize>,
}

impl AccountKeys {
    /// Indexes the accounts of a catalog.
    ///
    /// # Errors
    ///
    /// Returns `CatalogError::SharedKey` if two accounts have the same key.
    pub fn new(accounts: Vec<ClientAccount>) -> Result<Self, CatalogError> {
        let mut by_key = HashMap::new();
        for (index, account) in accounts.iter().enumerate() {
            for key in &account.keys {
                let other = by_key.insert(*key, index).filter(|other| *other != index);
                if let Some(other) = other {
                    let accounts = [&accounts[other], account].map(|a| a.name.clone());
                    return Err(CatalogError::SharedKey(accounts));
                }
            }
        }
        Ok(Self { accounts: accounts.into(), by_key })
    }

    /// Returns whether there are no accounts, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the account that a key belongs to; `key` is the key itself, not its digest.
    pub fn find(&self, key: &str) -> Option<&ClientAccount> {
        let index = self.by_key.get(&Sha256Digest::of(key.as_bytes()))?;
        self.accounts.get(*index)
    }
}
