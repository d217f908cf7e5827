use std::net::SocketAddr;

use super::{HostState, RecordKey, RecordSummary, Refutation, version_hash};
use masticstair_core::id::{DataCentreId, HostId, Incarnation};

/// The state of a host, as known to another host.
///
/// Two records of a host merge to the greater one in the order of the fields, so the merge is commutative,
/// associative and idempotent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostRecord {
    /// The host that the record describes.
    pub host: HostId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The refutation counter of this incarnation; only the host itself raises it.
    pub refutation: Refutation,
    /// The state as of this incarnation and refutation.
    pub state: HostState,
    /// The address that accepts connections of peers.
    pub address: SocketAddr,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// Whether the host has a data folder, and so can hold a replica of the log.
    pub durable: bool,
}

impl HostRecord {
    /// Returns whether this record replaces another one of the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        self > other
    }

    /// Returns the summary of the record for digests.
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
