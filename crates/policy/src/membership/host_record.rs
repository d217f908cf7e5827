use std::net::SocketAddr;

use super::{HostState, RecordKey, RecordSummary, Refutation, version_hash};
use masticstair_core::id::{DataCentreId, HostId, Incarnation};

/// What one host knows of another.
///
/// Two records of a host merge to the greater one in the order of the fields, so the merge is commutative,
/// associative and idempotent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostRecord {
    /// The host.
    pub host: HostId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Raised only by the host itself.
    pub refutation: Refutation,
    /// The state as of this incarnation and refutation.
    pub state: HostState,
    /// Where it listens for its peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it has a data folder, and so can hold a replica of the log.
    pub durable: bool,
}

impl HostRecord {
    /// Tells whether this record replaces another one of the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        self > other
    }

    /// Returns the record's line in a digest.
    pub fn summary(&self) -> RecordSummary {
        let version = version_hash(&[
            &self.incarnation.get().to_le_bytes(),
            &self.refutation.get().to_le_bytes(),
            &[self.state as u8],
            self.address.to_string().as_bytes(),
        ]);
        RecordSummary { key: RecordKey::of_host(self.host.as_str()), version }
    }
}
