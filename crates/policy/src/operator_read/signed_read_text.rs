use masticstair_core::id::{DeploymentName, SignerName};
use masticstair_core::prelude::*;

/// Returns the text that an operator signs for a read; the command line and the hosts use it.
///
/// The first line separates these signatures from those of commands. No field can contain a line break, so
/// two reads never have the same text.
///
/// ```text
/// masticstair read 1
/// deployment NAME
/// signer NAME
/// method GET
/// target PATH[?QUERY]
/// time-ms UNIX MILLISECONDS
/// ```
pub fn signed_read_text(
    deployment: &DeploymentName,
    signer: &SignerName,
    method: &str,
    target: &str,
    time: WallTime,
) -> Box<str> {
    format!(
        "masticstair read 1\n\
         deployment {deployment}\n\
         signer {signer}\n\
         method {method}\n\
         target {target}\n\
         time-ms {time}\n"
    )
    .into()
}
