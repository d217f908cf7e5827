use masticstair_core::id::{CommandId, DeploymentName};
use masticstair_core::prelude::*;
use masticstair_policy::bundle_history::{BundleAction, BundleCommand, SignedHeader, signed_text};

use super::OperatorKey;

/// Signs a command that builds on the revision `expected`.
pub fn sign_command(
    key: &OperatorKey,
    deployment: &DeploymentName,
    id: CommandId,
    expected: Revision,
    action: BundleAction,
) -> BundleCommand {
    let (kind, digest) = (action.right(), action.digest());
    let text = signed_text(deployment, &id, expected, &key.signer, kind, &digest);
    let signature = key.sign(&text);
    let header = SignedHeader { id, expected, signer: key.signer.clone(), signature };
    BundleCommand { header, action }
}
