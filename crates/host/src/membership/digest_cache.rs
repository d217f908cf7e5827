use std::collections::HashSet;
use std::time::Duration;

use masticstair_core::unit::Timestamp;
use masticstair_policy::endpoint_table::EndpointTable;
use masticstair_policy::membership::{MemberTable, RecordFingerprint, RecordSummary, digest};

/// The age at which the summaries are recomputed even without a change, since records leave the digest as
/// time passes.
const MAX_CACHE_AGE: Duration = Duration::from_secs(1);

/// The cached summaries of all records in the tables of this host.
#[derive(Debug, Default)]
pub(crate) struct DigestCache {
    computed_at: Option<Timestamp>,
    records: Vec<RecordSummary>,
    fingerprints: HashSet<RecordFingerprint>,
    hash: u64,
}

impl DigestCache {
    /// Makes the next `get` recompute the summaries.
    pub(crate) fn invalidate(&mut self) {
        self.computed_at = None;
    }

    /// Returns the summaries and their hash; recomputes them if they are invalid or too old.
    pub(crate) fn get(
        &mut self,
        now: Timestamp,
        members: &MemberTable,
        endpoints: &EndpointTable,
    ) -> (&[RecordSummary], u64) {
        if self.computed_at.is_none_or(|computed_at| now.since(computed_at) >= MAX_CACHE_AGE) {
            let hosts = members.iter().filter(|m| m.is_in_digest(now)).map(|m| m.record.summary());
            let endpoints = endpoints.iter().filter(|e| e.is_in_digest(now));
            self.records = hosts.chain(endpoints.map(|e| e.record.summary())).collect();
            self.fingerprints = self.records.iter().map(RecordSummary::fingerprint).collect();
            self.hash = digest::table_hash(&self.records);
            self.computed_at = Some(now);
        }
        (&self.records, self.hash)
    }

    /// Returns whether the latest summaries contain this version of a record.
    pub(crate) fn contains(&self, fingerprint: RecordFingerprint) -> bool {
        self.fingerprints.contains(&fingerprint)
    }
}
