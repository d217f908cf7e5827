use masticstair_core::bundle::Signer;
use masticstair_core::id::{DeploymentName, SignerName};
use masticstair_core::prelude::*;

use super::{ReadRefusal, signed_read_text};
use crate::bundle_history::CommandSignature;

/// How far the time of a read may be from the clock of the host, in either direction. Clocks of operators
/// are seldom off by minutes; a larger value would let a captured read be replayed for longer.
pub const MAX_CLOCK_OFFSET: Millis = Millis::new(300_000);

/// The signer, the time and the signature of an operator's read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadHeader {
    /// The operator whose key made the signature.
    pub signer: SignerName,
    /// The operator's wall clock when the read was signed.
    pub time: WallTime,
    /// The operator's signature over `signed_read_text`.
    pub signature: CommandSignature,
}

impl ReadHeader {
    /// Checks that one of `signers` signed this read within `MAX_CLOCK_OFFSET` of `now`. Reads need no right.
    ///
    /// # Errors
    ///
    /// Returns the first check that failed.
    pub fn verify(
        &self,
        now: WallTime,
        deployment: &DeploymentName,
        method: &str,
        target: &str,
        signers: &[Signer],
    ) -> Result<(), ReadRefusal> {
        let name = &self.signer;
        let Some(signer) = signers.iter().find(|s| s.name == *name) else {
            return Err(ReadRefusal::UnknownSigner(name.clone()));
        };
        let text = signed_read_text(deployment, name, method, target, self.time);
        if !signer.key.verifies(text.as_bytes(), self.signature.as_bytes()) {
            return Err(ReadRefusal::BadSignature(name.clone()));
        }
        let offset = Millis::new(now.get().abs_diff(self.time.get()));
        if offset > MAX_CLOCK_OFFSET {
            return Err(ReadRefusal::Expired { offset, limit: MAX_CLOCK_OFFSET });
        }
        Ok(())
    }
}
