use super::StageKind;
use crate::id::PoolName;

/// A pool of endpoints that serve the same stages.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Unique in the bundle.
    pub name: PoolName,
    /// The kind of stage that the pool serves.
    pub kind: StageKind,
    /// Whether the endpoints refuse orders with an old fencing number.
    pub checks_fencing: bool,
}
