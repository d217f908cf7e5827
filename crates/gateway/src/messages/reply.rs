use masticstair_policy::endpoint_limits::Permit;
use masticstair_policy::stream_versions::StreamWriter;
use serde::{Deserialize, Serialize};

use super::{FindingsReply, StageReply, SubscribeReply};

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
    /// To `Findings`.
    Findings(FindingsReply),
    /// To `Permit`.
    Permit(Permit),
    /// To `FindStream`; none if this host does not know.
    Stream(Option<StreamWriter>),
}
