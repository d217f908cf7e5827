use masticstair_core::bundle::{Right, Signer};
use masticstair_core::id::{CommandId, SignerName};
use masticstair_core::prelude::*;

use super::{BundleRefusal, CommandSignature, DeploymentName, signed_text};

/// The signer, the expected revision and the signature of a bundle command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SignedHeader {
    /// Chosen by the operator; a resent command has the same one.
    pub id: CommandId,
    /// The revision in force that the operator saw; 0 when there is none.
    pub expected: Revision,
    /// The operator whose key made the signature.
    pub signer: SignerName,
    /// The operator's signature over `signed_text`.
    pub signature: CommandSignature,
}

impl SignedHeader {
    /// Checks that the signer is one of `signers`, has the right `kind`, and signed the command.
    ///
    /// # Errors
    ///
    /// Returns the first check that failed.
    pub fn verify(
        &self,
        deployment: &DeploymentName,
        kind: Right,
        digest: &Sha256Digest,
        signers: &[Signer],
    ) -> Result<(), BundleRefusal> {
        let name = &self.signer;
        let Some(signer) = signers.iter().find(|s| s.name == *name) else {
            return Err(BundleRefusal::UnknownSigner(name.clone()));
        };
        if !signer.may.contains(&kind) {
            return Err(BundleRefusal::NoRight { signer: name.clone(), right: kind });
        }
        let text = signed_text(deployment, &self.id, self.expected, name, kind, digest);
        if !signer.key.verifies(text.as_bytes(), self.signature.as_bytes()) {
            return Err(BundleRefusal::BadSignature(name.clone()));
        }
        Ok(())
    }
}
