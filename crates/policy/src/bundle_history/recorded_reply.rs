use masticstair_core::bundle::Right;
use masticstair_core::id::CommandId;
use masticstair_core::prelude::*;

use super::{BundleReply, Origin};

/// The reply to a command, kept so that a resent command gets the same reply.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedReply {
    /// The id that the operator chose for the command.
    pub id: CommandId,
    /// The digest of the text that the operator signed; a resent command has the same one.
    pub command: Sha256Digest,
    /// The kind of the command, as the right that it needs.
    pub kind: Right,
    /// The signer and the content of the command.
    pub origin: Origin,
    /// `None` when the content was invalid: the errors may be long and are computed from the content again.
    pub reply: Option<BundleReply>,
}
