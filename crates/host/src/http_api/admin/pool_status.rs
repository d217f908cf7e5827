use masticstair_core::bundle::StageKind;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The endpoints of a pool that accept new calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The name of the pool.
    pub pool: PoolName,
    /// The kind of stage that the pool serves.
    pub kind: StageKind,
    /// Whether the bundle in force lists the pool; endpoints may announce themselves for other pools.
    pub in_bundle: bool,
    /// The number of its endpoints.
    pub endpoints: Slots,
    /// The number of endpoints whose observing host is suspected to have failed.
    pub unconfirmed: Slots,
    /// The sum of the concurrent calls that the endpoints accept.
    pub capacity: Slots,
}
