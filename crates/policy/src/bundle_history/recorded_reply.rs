use masticstair_core::bundle::Right;
use masticstair_core::id::CommandId;
use masticstair_core::prelude::*;

use super::{BundleReply, Origin};

/// The reply that a command got, for the case that the operator resends the command.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedReply {
    /// The id of the command.
    pub id: CommandId,
    /// The digest of the text that the operator signed; a resent command has the same one.
    pub command: Sha256Digest,
    /// The kind of the command.
    pub kind: Right,
    /// Who gave the command, for what content.
    pub origin: Origin,
    /// None when the content was invalid: the errors follow from the content and may be long.
    pub reply: Option<BundleReply>,
}
