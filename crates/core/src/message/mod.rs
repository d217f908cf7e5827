//! Messages of the replicated log as plain structs; their encoding is the transport's.

mod append;
mod hard_state;
mod log_entry;
mod snapshot;
mod vote;
mod voter_set;

pub use append::{AppendReply, AppendRequest};
pub use hard_state::HardState;
pub use log_entry::{EntryPayload, LogEntry};
pub use snapshot::{SnapshotChunk, SnapshotMeta, SnapshotReply};
pub use vote::{VoteReply, VoteRequest};
pub use voter_set::{Replica, VoterSet};
