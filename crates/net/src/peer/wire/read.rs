//! Replies to linearizable reads at the leader.

use super::text::{read_optional_name, read_text};
use crate::generated::peer_capnp::read_reply;
use crate::peer::{DecodeError, ReadReply};

pub(crate) fn write_reply(mut out: read_reply::Builder<'_>, reply: &ReadReply) {
    match reply {
        ReadReply::Answer(bytes) => out.set_answer(bytes),
        ReadReply::Redirect(leader) => {
            out.set_redirect(leader.as_ref().map_or("", |l| l.as_str()));
        }
        ReadReply::Failed(reason) => out.set_failed(&**reason),
    }
}

pub(crate) fn read_reply(reply: read_reply::Reader<'_>) -> Result<ReadReply, DecodeError> {
    Ok(match reply.which().map_err(|e| DecodeError::value("read reply", e))? {
        read_reply::Answer(bytes) => ReadReply::Answer(bytes?.into()),
        read_reply::Redirect(leader) => ReadReply::Redirect(read_optional_name("leader", leader)?),
        read_reply::Failed(reason) => ReadReply::Failed(read_text("reason", reason)?),
    })
}
