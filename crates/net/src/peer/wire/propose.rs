//! Replies to proposals.

use super::text::{read_optional_name, read_text};
use crate::generated::peer_capnp::propose_reply;
use crate::peer::{DecodeError, ProposeReply};

pub(crate) fn write_reply(mut out: propose_reply::Builder<'_>, reply: &ProposeReply) {
    match reply {
        ProposeReply::Applied(bytes) => out.set_reply(bytes),
        ProposeReply::Redirect(leader) => {
            out.set_redirect(leader.as_ref().map_or("", |l| l.as_str()));
        }
        ProposeReply::NotProposed(reason) => out.set_not_proposed(&**reason),
        ProposeReply::Unknown(reason) => out.set_unknown(&**reason),
    }
}

pub(crate) fn read_reply(reply: propose_reply::Reader<'_>) -> Result<ProposeReply, DecodeError> {
    Ok(match reply.which().map_err(|e| DecodeError::value("propose reply", e))? {
        propose_reply::Reply(bytes) => ProposeReply::Applied(bytes?.into()),
        propose_reply::Redirect(leader) => {
            ProposeReply::Redirect(read_optional_name("leader", leader)?)
        }
        propose_reply::NotProposed(reason) => {
            ProposeReply::NotProposed(read_text("reason", reason)?)
        }
        propose_reply::Unknown(reason) => ProposeReply::Unknown(read_text("reason", reason)?),
    })
}
