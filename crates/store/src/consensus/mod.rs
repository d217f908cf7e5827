//! A replicated log based on Raft: elections, replication, membership changes and linearizable reads.
//!
//! A `Node` is one replica. Synchronous functions change its state in memory, and one task persists it;
//! replies that require durability wait for that task. The protocol rules are in `rules`, the tasks in
//! `tasks`, the handlers for messages of other replicas in `handlers` and the requests of the host in
//! `requests`.

mod config;
mod handlers;
mod incoming_snapshot;
mod leader_state;
mod link_error;
mod log;
mod member_status;
mod node;
mod node_parts;
mod node_status;
mod peer_link;
mod pending_proposals;
mod progress;
mod progress_mode;
mod propose_error;
mod read_error;
mod recovered_state;
mod refusal;
mod replica_fault;
mod replica_state;
mod request_error;
mod requests;
mod restore_error;
mod role;
mod rules;
mod shared;
mod signal;
mod signals;
mod snapshot;
mod start_error;
mod state_machine;
mod storage;
mod storage_fault;
mod tasks;
mod transfer_error;
mod unsaved_state;
mod unwritten_entries;

pub use config::Config;
pub use link_error::LinkError;
pub use member_status::MemberStatus;
pub use node::Node;
pub use node_parts::NodeParts;
pub use node_status::NodeStatus;
pub use peer_link::{Call, PeerLink};
pub use propose_error::ProposeError;
pub use read_error::ReadError;
pub use recovered_state::RecoveredState;
pub use refusal::Refusal;
pub use replica_fault::ReplicaFault;
pub use request_error::RequestError;
pub use restore_error::RestoreError;
pub use role::Role;
pub use rules::{ChangeError, FormationAnswer, FormationDecision, decide_formation};
pub use start_error::StartError;
pub use state_machine::{ApplyFn, QueryFn, RestoreFn, StateMachine};
pub use storage::{Storage, StorageCall};
pub use storage_fault::StorageFault;
pub use transfer_error::TransferError;

#[cfg(test)]
mod tests;
