use masticstair_core::bundle::{BundleVersion, Right, Signer};
use masticstair_core::prelude::*;
use smallvec::SmallVec;

use super::{BundleRefusal, DeploymentName, Origin, SignedHeader};

/// A revision with the signatures that authorize it.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionEntry {
    /// The revision; one higher than the one before it.
    pub revision: Revision,
    /// The version that the content names.
    pub version: BundleVersion,
    /// The digest of the document that the revision puts in force.
    pub digest: Sha256Digest,
    /// The sign-offs that expect the revision before it; at least one.
    pub sign_offs: SmallVec<[SignedHeader; 2]>,
    /// The command that rolled the content.
    pub roll: SignedHeader,
}

impl RevisionEntry {
    /// Verifies the signatures against the signers of the revision before it. A host does so before it puts a
    /// revision from another host in force.
    ///
    /// # Errors
    ///
    /// Returns the first check that failed.
    pub fn verify(
        &self,
        deployment: &DeploymentName,
        signers: &[Signer],
    ) -> Result<(), BundleRefusal> {
        let next = |h: &SignedHeader| h.expected.get().checked_add(1) == Some(self.revision.get());
        let signed_off = !self.sign_offs.is_empty() && self.sign_offs.iter().all(next);
        if !signed_off || !next(&self.roll) {
            return Err(BundleRefusal::NotSignedOff { digest: self.digest, next: self.revision });
        }
        for sign_off in &self.sign_offs {
            sign_off.verify(deployment, Right::SignOff, &self.digest, signers)?;
        }
        self.roll.verify(deployment, Right::Roll, &self.digest, signers)
    }

    pub(super) fn origin(&self) -> Origin {
        Origin { by: self.roll.signer.clone(), digest: self.digest }
    }
}
