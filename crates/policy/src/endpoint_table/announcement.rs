use std::net::SocketAddr;

use super::ServedModel;
use masticstair_core::bundle::StageKind;
use masticstair_core::id::{DataCentreId, EndpointId, Incarnation, PoolName};
use masticstair_core::unit::Slots;
use smallvec::SmallVec;

/// The message in which an endpoint describes itself to its observer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The id under which the endpoint is known to all hosts.
    pub id: EndpointId,
    /// The incarnation of its process; higher after each restart.
    pub incarnation: Incarnation,
    /// Whether it is leaving; final for the incarnation.
    pub leaving: bool,
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
