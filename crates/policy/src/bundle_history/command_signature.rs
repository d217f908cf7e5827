use std::fmt;
use std::str::FromStr;

use super::SignatureError;

/// An Ed25519 signature over the text of a bundle command or of an operator read, written as 128 hexadecimal
/// digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommandSignature([u8; 64]);

impl CommandSignature {
    /// Creates a signature from its raw bytes without verifying it.
    pub const fn from_bytes(bytes: [u8; 64]) -> Self {
        Self(bytes)
    }

    /// Returns the raw bytes in the Ed25519 encoding.
    pub const fn as_bytes(&self) -> &[u8; 64] {
        &self.0
    }
}

impl fmt::Display for CommandSignature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for CommandSignature {
    type Err = SignatureError;

    fn from_str(s: &str) -> Result<Self, SignatureError> {
        let mut bytes = [0; 64];
        hex::decode_to_slice(s, &mut bytes).map_err(|_| SignatureError)?;
        Ok(Self(bytes))
    }
}
