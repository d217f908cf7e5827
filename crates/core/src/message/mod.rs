//! Messages of the replicated log as plain structs; the transport encodes them.

mod append_reply;
mod append_request;
mod entry_payload;
mod hard_state;
mod log_entry;
mod replica;
mod snapshot_chunk;
mod snapshot_meta;
mod snapshot_reply;
mod vote_reply;
mod vote_request;
mod voter_set;

pub use append_reply::AppendReply;
pub use append_request::AppendRequest;
pub use entry_payload::EntryPayload;
pub use hard_state::HardState;
pub use log_entry::LogEntry;
pub use replica::Replica;
pub use snapshot_chunk::SnapshotChunk;
pub use snapshot_meta::SnapshotMeta;
pub use snapshot_reply::SnapshotReply;
pub use vote_reply::VoteReply;
pub use vote_request::VoteRequest;
pub use voter_set::VoterSet;
