//! Messages between hosts over Cap'n Proto RPC.
//!
//! A host runs one `PeerServer`, with a task for each connection, and one `PeerClient` for each peer, with
//! a task that owns the connection. A call that misses its deadline closes the connection, because a
//! connection can be dead without an error.

mod backoff;
mod bundle_chunk;
mod call_refused;
mod call_slot;
mod calls;
mod client;
mod client_config;
mod client_task;
mod connection;
mod decode_error;
mod error;
mod formation_answer;
mod gate;
mod gateway_message;
mod group_id;
mod handlers;
mod identity;
mod in_group;
mod job;
pub mod limits;
mod permit;
mod probe_request;
mod proposal;
mod protocol_version;
mod read_query;
mod server;
mod service;
mod traffic;
mod transport;
mod wire;

pub use bundle_chunk::{BundleChunk, BundleRequest};
pub use call_refused::CallRefused;
pub use client::PeerClient;
pub use client_config::PeerClientConfig;
pub use decode_error::DecodeError;
pub use error::PeerError;
pub use formation_answer::FormationAnswer;
pub use gateway_message::GatewayMessage;
pub use group_id::GroupId;
pub use handlers::{Handler, PeerHandlers};
pub use identity::PeerIdentity;
pub use in_group::InGroup;
pub use masticstair_core::id::DeploymentName;
pub use probe_request::ProbeRequest;
pub use proposal::{Proposal, ProposeReply};
pub use protocol_version::ProtocolVersion;
pub use read_query::{ReadQuery, ReadReply};
pub use server::PeerServer;
pub use traffic::Traffic;
