use masticstair_policy::poison::EvidenceUpdate;
use serde::{Deserialize, Serialize};

use super::{StageReply, SubscribeReply};

/// The reply to a message.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To `Subscribe`.
    #[serde(rename = "Follow")]
    Subscribe(Box<SubscribeReply>),
    /// To `Stage`.
    Stage(StageReply),
    /// To all other messages.
    Done,
    /// This host does not serve the message; carries the reason.
    Refused(Box<str>),
    /// To `Evidence`.
    Evidence(EvidenceUpdate),
}
