use ed25519_dalek::{Signature, VerifyingKey};
use std::fmt;
use std::str::FromStr;

use super::PublicKeyError;

/// An Ed25519 public key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublicKey(VerifyingKey);

impl PublicKey {
    /// Creates the key from a decoded one, such as the public half of a key pair.
    pub const fn new(key: VerifyingKey) -> Self {
        Self(key)
    }

    /// Returns whether the signature is valid under strict verification, which rejects malleable signatures
    /// and weak keys.
    pub fn verifies(&self, message: &[u8], signature: &[u8; 64]) -> bool {
        self.0.verify_strict(message, &Signature::from_bytes(signature)).is_ok()
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0.as_bytes()))
    }
}

impl FromStr for PublicKey {
    type Err = PublicKeyError;

    fn from_str(s: &str) -> Result<Self, PublicKeyError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(s, &mut bytes).map_err(|_| PublicKeyError::Syntax)?;
        VerifyingKey::from_bytes(&bytes).map(Self).map_err(|_| PublicKeyError::Invalid)
    }
}
