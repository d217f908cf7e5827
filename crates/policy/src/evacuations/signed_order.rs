use masticstair_core::bundle::{Right, Signer};
use masticstair_core::id::{DeploymentName, EvacuationRevision, SignerName};
use masticstair_core::prelude::*;

use super::{EvacuationAction, OrderRefusal};
use crate::bundle_history::CommandSignature;
use crate::operator_read::MAX_CLOCK_OFFSET;

/// An order that an operator has signed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SignedOrder {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// What is to happen with it.
    pub action: EvacuationAction,
    /// The revision of the evacuations that the operator saw. A captured order has no effect after the next change.
    pub after: EvacuationRevision,
    /// The operator whose key made the signature.
    pub signer: SignerName,
    /// The operator's wall clock when the order was signed.
    pub time: WallTime,
    /// The operator's signature over `text`.
    pub signature: CommandSignature,
}

impl SignedOrder {
    /// Returns the text that the operator signs. No field can contain a line break, so two orders never have the same text.
    ///
    /// ```text
    /// masticstair evacuation 1
    /// deployment NAME
    /// signer NAME
    /// action begin|end
    /// data-centre NAME
    /// after REVISION
    /// time-ms UNIX MILLISECONDS
    /// ```
    pub fn text(&self, deployment: &DeploymentName) -> Box<str> {
        let Self { data_centre, action, after, signer, time, .. } = self;
        format!(
            "masticstair evacuation 1\n\
             deployment {deployment}\n\
             signer {signer}\n\
             action {action}\n\
             data-centre {data_centre}\n\
             after {after}\n\
             time-ms {time}\n"
        )
        .into()
    }

    /// Checks that one of `signers` who may roll bundles, which changes where requests go as well, signed this order within
    /// `MAX_CLOCK_OFFSET` of `now`.
    ///
    /// # Errors
    ///
    /// Returns the first check that failed.
    pub fn verify(
        &self,
        now: WallTime,
        deployment: &DeploymentName,
        signers: &[Signer],
    ) -> Result<(), OrderRefusal> {
        let name = &self.signer;
        let Some(signer) = signers.iter().find(|s| s.name == *name) else {
            return Err(OrderRefusal::UnknownSigner(name.clone()));
        };
        if !signer.may.contains(&Right::Roll) {
            return Err(OrderRefusal::NoRight(name.clone()));
        }
        if !signer.key.verifies(self.text(deployment).as_bytes(), self.signature.as_bytes()) {
            return Err(OrderRefusal::BadSignature(name.clone()));
        }
        let offset = Millis::new(now.get().abs_diff(self.time.get()));
        if offset > MAX_CLOCK_OFFSET {
            return Err(OrderRefusal::Expired { offset, limit: MAX_CLOCK_OFFSET });
        }
        Ok(())
    }
}
