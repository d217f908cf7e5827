use masticstair_core::id::{CommandId, SignerName};
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/bundles`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Chosen by the operator; a command that is sent again has the same one.
    pub command_id: CommandId,
    /// The revision in force that the operator saw; 0 when there is none.
    pub expected_revision: Revision,
    /// The operator.
    pub signer: SignerName,
    /// The operator's signature, 128 hexadecimal digits.
    pub signature: Box<str>,
    /// The TOML text of the bundle.
    pub content: Box<str>,
}
