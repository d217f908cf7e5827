use masticstair_core::id::{EvacuationRevision, SignerName};
use masticstair_core::prelude::*;
use masticstair_policy::evacuations::EvacuationAction;
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/evacuations/{data_centre}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationRequest {
    /// What is to happen with the data centre.
    pub action: EvacuationAction,
    /// The revision of the evacuations that the operator saw, from the status; 0 when there was none.
    pub after: EvacuationRevision,
    /// The name of the operator who signed the order.
    pub signer: SignerName,
    /// The operator's clock when the order was signed.
    pub time: WallTime,
    /// The Ed25519 signature of the order, 128 hexadecimal digits.
    pub signature: Box<str>,
}
