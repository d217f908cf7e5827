use masticstair_core::bundle::Right;
use masticstair_core::id::{CommandId, SignerName};
use masticstair_core::prelude::*;

use super::DeploymentName;

/// Returns the text that an operator signs for a bundle command; the command line and the hosts use it.
///
/// The first line separates these signatures from any others made with the same key. No field can contain
/// a line break or a space, so two commands never have the same text.
///
/// ```text
/// masticstair bundle command 1
/// deployment NAME
/// command ID
/// expected-revision NUMBER
/// signer NAME
/// kind submit | sign-off | roll
/// content-sha256 64 hexadecimal digits
/// ```
pub fn signed_text(
    deployment: &DeploymentName,
    id: &CommandId,
    expected: Revision,
    signer: &SignerName,
    kind: Right,
    digest: &Sha256Digest,
) -> Box<str> {
    format!(
        "masticstair bundle command 1\n\
         deployment {deployment}\n\
         command {id}\n\
         expected-revision {expected}\n\
         signer {signer}\n\
         kind {kind}\n\
         content-sha256 {digest}\n"
    )
    .into()
}
