//! A signed bundle file, for a host that runs alone.

use masticstair_core::bundle::{Bundle, Right};
use masticstair_core::id::{DeploymentName, SignerName};
use masticstair_core::prelude::*;
use masticstair_core::toml_reader::FieldErrors;
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

use crate::settings::Operator;

/// The signature that stands beside a bundle file, in a file with `.sig` added to the name.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BundleSignature {
    /// Who signed.
    pub signer: SignerName,
    /// The Ed25519 signature of `signed_message`, 128 hexadecimal digits.
    pub signature: Box<str>,
}

/// The reason for which a signed bundle file is refused.
#[derive(Debug, Error)]
pub enum SignedBundleError {
    /// A file cannot be read.
    #[error("bundle file {file}: {source}", file = file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The signature file cannot be read as one.
    #[error("signature file {file}: {message}", file = file.display())]
    Signature {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        message: Box<str>,
    },
    /// The signer may not sign off bundles.
    #[error("signer {0} is no operator of the settings with the right sign-off")]
    Signer(SignerName),
    /// The signature does not fit the content.
    #[error("the signature of {0} does not fit the bundle")]
    Mismatch(SignerName),
    /// The bundle has errors.
    #[error("bundle file {file}:\n{errors}", file = file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Every error found.
        errors: FieldErrors,
    },
}

/// Returns what a signer signs for a bundle file.
pub fn signed_message(deployment: &DeploymentName, content: &Sha256Digest) -> Box<[u8]> {
    format!("masticstair bundle file v1\n{deployment}\n{content}\n").into_bytes().into()
}

/// Reads a bundle file and checks its signature against the operators of the settings.
///
/// # Errors
///
/// Refuses a file that cannot be read, a signature that does not fit, and a bundle with errors.
pub fn load_signed_bundle(
    file: &Path,
    deployment: &DeploymentName,
    operators: &[Operator],
) -> Result<Bundle, SignedBundleError> {
    let text = read(file)?;
    let mut sig_file = file.as_os_str().to_owned();
    sig_file.push(".sig");
    let sig_file = PathBuf::from(sig_file);
    let malformed = |message: String| SignedBundleError::Signature {
        file: sig_file.clone(),
        message: message.into(),
    };
    let signature: BundleSignature =
        serde_json::from_str(&read(&sig_file)?).map_err(|e| malformed(e.to_string()))?;
    let mut bytes = [0; 64];
    hex::decode_to_slice(signature.signature.as_ref(), &mut bytes)
        .map_err(|_| malformed("the signature has not 128 hexadecimal digits".to_owned()))?;
    let signer = signature.signer;
    let found = operators.iter().find(|o| o.name == signer && o.may.contains(&Right::SignOff));
    let Some(operator) = found else { return Err(SignedBundleError::Signer(signer)) };
    let message = signed_message(deployment, &Sha256Digest::of(text.as_bytes()));
    if !operator.key.verifies(&message, &bytes) {
        return Err(SignedBundleError::Mismatch(signer));
    }
    text.parse().map_err(|errors| SignedBundleError::Invalid { file: file.to_owned(), errors })
}

fn read(file: &Path) -> Result<String, SignedBundleError> {
    fs::read_to_string(file)
        .map_err(|source| SignedBundleError::Read { file: file.to_owned(), source })
}
