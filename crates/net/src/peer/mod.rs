//! Calls between hosts over Cap'n Proto RPC.
//!
//! A host runs one `PeerServer`, with a task per connection, and one `PeerClient` per peer, with a task that
//! owns the connection. A call that exceeds its deadline closes the connection, because a connection can be
//! dead without an error.

mod backoff;
mod bundle_chunk;
mod bundle_request;
mod call_error;
mod call_outcome;
mod call_permit;
mod call_refused;
mod call_slot;
mod calls;
mod client_task;
mod connection;
mod counted_stream;
mod decode_error;
mod formation_answer;
mod gate;
mod gateway_message;
mod group_id;
mod in_group;
pub mod limits;
mod peer_client;
mod peer_client_config;
mod peer_error;
mod peer_handlers;
mod peer_identity;
mod peer_server;
mod probe_request;
mod proposal;
mod propose_reply;
mod protocol_version;
mod queued_call;
mod read_query;
mod read_reply;
mod service;
mod traffic;
mod transport;
mod wire;

pub use bundle_chunk::BundleChunk;
pub use bundle_request::BundleRequest;
pub use call_refused::CallRefused;
pub use decode_error::DecodeError;
pub use formation_answer::FormationAnswer;
pub use gateway_message::GatewayMessage;
pub use group_id::GroupId;
pub use in_group::InGroup;
pub use masticstair_core::id::DeploymentName;
pub use peer_client::PeerClient;
pub use peer_client_config::PeerClientConfig;
pub use peer_error::PeerError;
pub use peer_handlers::{Handler, PeerHandlers};
pub use peer_identity::PeerIdentity;
pub use peer_server::PeerServer;
pub use probe_request::ProbeRequest;
pub use proposal::Proposal;
pub use propose_reply::ProposeReply;
pub use protocol_version::ProtocolVersion;
pub use read_query::ReadQuery;
pub use read_reply::ReadReply;
pub use traffic::Traffic;
