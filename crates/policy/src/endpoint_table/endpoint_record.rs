use std::cmp::Ordering;
use std::net::SocketAddr;

use super::{EndpointState, Sequence, ServedModel};
use crate::membership::{RecordKey, RecordSummary, version_hash};
use masticstair_core::bundle::StageKind;
use masticstair_core::id::{DataCentreId, EndpointId, HostId, Incarnation, PoolName};
use masticstair_core::unit::Slots;
use smallvec::SmallVec;

/// The state of an endpoint as hosts exchange it.
///
/// Two records of an endpoint merge to the one that `supersedes` the other. That is a total order, so the
/// merge is commutative, associative and idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint; records of the same id supersede each other.
    pub id: EndpointId,
    /// The incarnation of its process, as the endpoint announces it.
    pub incarnation: Incarnation,
    /// Whether it accepts work, as its observer last recorded.
    pub state: EndpointState,
    /// The number of the change that made this record.
    pub sequence: Sequence,
    /// The host that made this change; it holds the lease of a ready endpoint.
    pub observer: HostId,
    /// The address on which it accepts calls.
    pub address: SocketAddr,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The kind of stage that it runs.
    pub kind: StageKind,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The number of calls that it runs concurrently.
    pub capacity: Slots,
    /// The models that it has loaded.
    pub models: SmallVec<[ServedModel; 2]>,
}

impl EndpointRecord {
    /// Returns whether this record replaces another one of the same endpoint.
    ///
    /// A higher incarnation wins. Within one, leaving is final, then the later change wins. The rest of the
    /// order only breaks ties between observers that changed the record at the same time.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.order(other).is_gt()
    }

    /// Returns whether two records have the same announced fields.
    pub fn same_announcement(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && self.address == other.address
            && self.pool == other.pool
            && self.kind == other.kind
            && self.data_centre == other.data_centre
            && self.capacity == other.capacity
            && self.models == other.models
    }

    /// Returns the entry of the record in a digest.
    pub fn summary(&self) -> RecordSummary {
        let version = version_hash(&[
            &self.incarnation.get().to_le_bytes(),
            &self.sequence.get().to_le_bytes(),
            &[self.state as u8],
            self.observer.as_str().as_bytes(),
        ]);
        RecordSummary { key: RecordKey::of_endpoint(self.id.as_str()), version }
    }

    fn order(&self, other: &Self) -> Ordering {
        self.incarnation
            .cmp(&other.incarnation)
            .then_with(|| self.is_leaving().cmp(&other.is_leaving()))
            .then_with(|| self.sequence.cmp(&other.sequence))
            .then_with(|| self.observer.cmp(&other.observer))
            .then_with(|| self.state.cmp(&other.state))
            .then_with(|| self.address.cmp(&other.address))
            .then_with(|| self.pool.cmp(&other.pool))
            .then_with(|| self.kind.as_str().cmp(other.kind.as_str()))
            .then_with(|| self.data_centre.cmp(&other.data_centre))
            .then_with(|| self.capacity.cmp(&other.capacity))
            .then_with(|| self.models.cmp(&other.models))
    }

    fn is_leaving(&self) -> bool {
        self.state == EndpointState::Leaving
    }
}
