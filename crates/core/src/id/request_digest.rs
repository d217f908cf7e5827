use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

use super::{AccountId, ServiceName};
use crate::unit::DigestError;

/// Identifies what a request asks for: the first 16 bytes of a SHA-256 over its method, target, client account and body,
/// written as 32 hexadecimal digits.
///
/// The account is part of it, so a client cannot make a request that another account's request is taken for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn of(method: &str, target: &str, account: Option<&AccountId>, body: &[u8]) -> Self {
        let account = account.map(|account| account.as_str().as_bytes()).unwrap_or_default();
        Self::of_fields(&[method.as_bytes(), target.as_bytes(), account, body])
    }

    /// Returns the digest of the part of the request that a stage service does.
    pub fn at_stage(&self, service: &ServiceName) -> Self {
        Self::of_fields(&[&self.0, service.as_str().as_bytes()])
    }

    fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            // The lengths keep apart fields that are equal only when they are joined.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(bytes)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(s: &str) -> Result<Self, DigestError> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(s, &mut bytes).map_err(|_| DigestError)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<Box<str>> for RequestDigest {
    type Error = DigestError;

    fn try_from(s: Box<str>) -> Result<Self, DigestError> {
        s.parse()
    }
}

impl From<RequestDigest> for Box<str> {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string().into()
    }
}
