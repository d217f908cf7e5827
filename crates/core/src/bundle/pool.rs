use super::StageKind;
use crate::id::PoolName;

/// A pool of endpoints that serve the same stages.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Unique in the bundle.
    pub name: PoolName,
    /// Every stage that names the pool has this kind.
    pub kind: StageKind,
    /// Whether the endpoints refuse orders with an outdated fencing token. Hosts do not act on it.
    pub checks_fencing: bool,
}
