use masticstair_core::id::{CommandId, SignerName};
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/bundles`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Chosen by the operator. A retry uses the same one, which makes the command idempotent.
    pub command_id: CommandId,
    /// The revision in force that the operator saw; 0 when there is none.
    pub expected_revision: Revision,
    /// The name of the operator who signed the command.
    pub signer: SignerName,
    /// The Ed25519 signature of the command, 128 hexadecimal digits.
    pub signature: Box<str>,
    /// The TOML text of the bundle, whose digest the signature covers.
    pub content: Box<str>,
}
