use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

use super::DigestError;

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Sha256Digest([u8; 32]);

impl Sha256Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Creates the digest from an already computed hash, without hashing the bytes.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the 32 bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for Sha256Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Sha256Digest {
    type Err = DigestError;

    fn from_str(s: &str) -> Result<Self, DigestError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(s, &mut bytes).map_err(|_| DigestError)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<Box<str>> for Sha256Digest {
    type Error = DigestError;

    fn try_from(s: Box<str>) -> Result<Self, DigestError> {
        s.parse()
    }
}

impl From<Sha256Digest> for Box<str> {
    fn from(digest: Sha256Digest) -> Self {
        digest.to_string().into()
    }
}
