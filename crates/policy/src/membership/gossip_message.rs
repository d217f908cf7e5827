use super::{HostRecord, RecordFingerprint, RecordKey, RecordSummary};
use crate::endpoint_table::{EndpointRecord, LoadReport};
use masticstair_core::id::Revision;

/// A gossip request or its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipMessage {
    /// The newest revision that the sender has.
    pub revision: Revision,
    /// Hash over the sender's records; 0 in a message whose answer contains only what it requests.
    pub table_hash: u64,
    /// Host records that changed or that the recipient requested.
    pub hosts: Vec<HostRecord>,
    /// Endpoint records that changed or that the recipient requested.
    pub endpoints: Vec<EndpointRecord>,
    /// Coarse load of endpoints that the sender observes.
    pub loads: Vec<LoadReport>,
    /// Fingerprints of recent changes that the sender knows.
    pub updates: Vec<RecordFingerprint>,
    /// Fingerprints of changes that the sender requests.
    pub requested_updates: Vec<RecordFingerprint>,
    /// Hashes of the sender's records by bucket; empty or a power of two of entries.
    pub buckets: Vec<u32>,
    /// The sender's records in the buckets that differ.
    pub summaries: Vec<RecordSummary>,
    /// Records that the sender requests.
    pub requested_records: Vec<RecordKey>,
}
