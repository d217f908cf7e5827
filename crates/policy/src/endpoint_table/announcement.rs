use std::net::SocketAddr;

use super::ServedModel;
use masticstair_core::bundle::StageKind;
use masticstair_core::id::{DataCentreId, EndpointId, Incarnation, PoolName};
use masticstair_core::unit::Slots;
use smallvec::SmallVec;

/// What an endpoint says about itself to its observer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The endpoint.
    pub id: EndpointId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Whether it leaves; final for the incarnation.
    pub leaving: bool,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The kind of its stages.
    pub kind: StageKind,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Calls that it runs at the same time.
    pub capacity: Slots,
    /// The models that it has loaded.
    pub models: SmallVec<[ServedModel; 2]>,
}
