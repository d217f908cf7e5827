//! Membership: live hosts, suspicion and merging of news.

pub mod digest;
mod gossip_message;
mod host_record;
mod host_state;
pub mod limits;
mod member;
mod member_table;
mod merge_outcome;
mod news_key;
mod news_queue;
mod probe_health;
mod probe_order;
mod record_key;
mod record_mark;
mod record_summary;
mod refutation;

pub use gossip_message::GossipMessage;
pub use host_record::HostRecord;
pub use host_state::HostState;
pub use member::Member;
pub use member_table::MemberTable;
pub use merge_outcome::MergeOutcome;
pub use news_key::NewsKey;
pub use news_queue::{DueNews, NewsQueue};
pub use probe_health::ProbeHealth;
pub use probe_order::ProbeOrder;
pub use record_key::RecordKey;
pub(crate) use record_key::version_hash;
pub use record_mark::RecordMark;
pub use record_summary::RecordSummary;
pub use refutation::Refutation;

#[cfg(test)]
mod tests;
