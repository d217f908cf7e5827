//! Membership: live hosts, suspicion and merging of news.

mod gossip_message;
mod host_record;
mod host_state;
mod record_key;
mod record_summary;
mod refutation;

pub use gossip_message::GossipMessage;
pub use host_record::HostRecord;
pub use host_state::HostState;
pub use record_key::RecordKey;
pub use record_summary::RecordSummary;
pub use refutation::Refutation;
