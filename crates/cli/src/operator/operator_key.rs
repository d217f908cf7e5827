use ed25519_dalek::{Signer, SigningKey};
use masticstair_core::bundle::PublicKey;
use masticstair_core::id::SignerName;
use masticstair_policy::bundle_history::CommandSignature;
use serde::{Deserialize, Serialize};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The key of an operator with the name under which bundles and settings list it.
#[derive(Clone, Debug)]
pub struct OperatorKey {
    /// The name.
    pub signer: SignerName,
    key: SigningKey,
}

/// The file of a key.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    signer: SignerName,
    /// 64 hexadecimal digits; secret.
    secret_key: Box<str>,
}

/// The reason for which a key file cannot be used.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file cannot be read or written.
    #[error("key file {file}: {source}", file = file.display())]
    Io {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is no key file.
    #[error("key file {file}: {message}", file = file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        message: Box<str>,
    },
}

impl OperatorKey {
    /// Makes a new random key.
    pub fn generate(signer: SignerName) -> Self {
        Self { signer, key: SigningKey::from_bytes(&rand::random()) }
    }

    /// Reads a key file.
    ///
    /// # Errors
    ///
    /// Names the file and what is wrong; never the key.
    pub fn load(file: &Path) -> Result<Self, KeyError> {
        let text = fs::read_to_string(file).map_err(|source| io_error(file, source))?;
        Self::parse(&text, file)
    }

    /// Reads the text of a key file; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// As `load`.
    pub fn parse(text: &str, file: &Path) -> Result<Self, KeyError> {
        let malformed =
            |message: &str| KeyError::Malformed { file: file.to_owned(), message: message.into() };
        let parsed: KeyFile =
            toml::from_str(text).map_err(|_| malformed("signer and secret_key are required"))?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(parsed.secret_key.as_ref(), &mut bytes)
            .map_err(|_| malformed("secret_key has not 64 hexadecimal digits"))?;
        Ok(Self { signer: parsed.signer, key: SigningKey::from_bytes(&bytes) })
    }

    /// Writes a new key file that only its owner can read.
    ///
    /// # Errors
    ///
    /// Fails when the file exists already or cannot be written.
    pub fn save(&self, file: &Path) -> Result<(), KeyError> {
        let secret_key = hex::encode(self.key.to_bytes());
        let text = format!("signer = \"{}\"\nsecret_key = \"{secret_key}\"\n", self.signer);
        let mut options = OpenOptions::new();
        let opened = options.write(true).create_new(true).mode(0o600).open(file);
        opened.and_then(|mut f| f.write_all(text.as_bytes())).map_err(|e| io_error(file, e))
    }

    /// Returns the public key.
    pub fn public(&self) -> PublicKey {
        PublicKey::new(self.key.verifying_key())
    }

    /// Signs a text.
    pub fn sign(&self, text: &str) -> CommandSignature {
        CommandSignature::from_bytes(self.key.sign(text.as_bytes()).to_bytes())
    }
}

fn io_error(file: &Path, source: io::Error) -> KeyError {
    KeyError::Io { file: file.to_owned(), source }
}
