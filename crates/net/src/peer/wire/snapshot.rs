//! Chunks of snapshots and the replies to them.

use super::text::read_replica_id;
use super::voter_set;
use crate::generated::peer_capnp::{snapshot_chunk, snapshot_reply};
use crate::peer::DecodeError;
use crate::peer::limits::SNAPSHOT_CHUNK_LIMIT_BYTES;
use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{SnapshotChunk, SnapshotMeta, SnapshotReply};

pub(crate) fn write_chunk(mut out: snapshot_chunk::Builder<'_>, chunk: &SnapshotChunk) {
    out.set_term(chunk.term.get());
    out.set_leader(chunk.leader.as_bytes());
    out.set_index(chunk.meta.index.get());
    out.set_index_term(chunk.meta.term.get());
    voter_set::write(out.reborrow().init_voters(), &chunk.meta.voters);
    out.set_size(chunk.meta.size);
    out.set_offset(chunk.offset);
    out.set_data(&chunk.data);
    out.set_last(chunk.last);
}

pub(crate) fn read_chunk(chunk: snapshot_chunk::Reader<'_>) -> Result<SnapshotChunk, DecodeError> {
    let data = chunk.get_data()?;
    if data.len() > SNAPSHOT_CHUNK_LIMIT_BYTES {
        return Err(DecodeError::value(
            "snapshot data",
            format_args!("{} bytes (at most {SNAPSHOT_CHUNK_LIMIT_BYTES} are allowed)", data.len()),
        ));
    }
    Ok(SnapshotChunk {
        term: Term::new(chunk.get_term()),
        leader: read_replica_id("leader", chunk.get_leader())?,
        meta: SnapshotMeta {
            index: LogIndex::new(chunk.get_index()),
            term: Term::new(chunk.get_index_term()),
            voters: voter_set::read(chunk.get_voters()?)?,
            size: chunk.get_size(),
        },
        offset: chunk.get_offset(),
        data: data.into(),
        last: chunk.get_last(),
    })
}

pub(crate) fn write_reply(mut out: snapshot_reply::Builder<'_>, reply: SnapshotReply) {
    out.set_term(reply.term.get());
    out.set_next_offset(reply.next_offset);
}

pub(crate) fn read_reply(reply: snapshot_reply::Reader<'_>) -> SnapshotReply {
    SnapshotReply { term: Term::new(reply.get_term()), next_offset: reply.get_next_offset() }
}
