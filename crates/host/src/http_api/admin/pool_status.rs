use masticstair_core::bundle::StageKind;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The endpoints of a pool that take new work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The kind of its stages.
    pub kind: StageKind,
    /// Whether the bundle in force names it.
    pub in_bundle: bool,
    /// Its endpoints.
    pub endpoints: Slots,
    /// Those of them whose observing host is suspected.
    pub unconfirmed: Slots,
    /// Calls that all of them run at the same time.
    pub capacity: Slots,
}
