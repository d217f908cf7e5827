//! Membership of the deployment: live hosts, suspicion of failures, and dissemination of updates by gossip.

pub mod digest;
mod due_update;
mod gossip_message;
mod host_record;
mod host_state;
pub mod limits;
mod member;
mod member_table;
mod merge_outcome;
mod probe_health;
mod probe_order;
mod record_fingerprint;
mod record_key;
mod record_summary;
mod refutation;
mod update_key;
mod update_queue;

pub use due_update::DueUpdate;
pub use gossip_message::GossipMessage;
pub use host_record::HostRecord;
pub use host_state::HostState;
pub use member::Member;
pub use member_table::MemberTable;
pub use merge_outcome::MergeOutcome;
pub use probe_health::ProbeHealth;
pub use probe_order::ProbeOrder;
pub use record_fingerprint::RecordFingerprint;
pub use record_key::RecordKey;
pub(crate) use record_key::version_hash;
pub use record_summary::RecordSummary;
pub use refutation::Refutation;
pub use update_key::UpdateKey;
pub use update_queue::UpdateQueue;

#[cfg(test)]
mod tests;
