use masticstair_core::prelude::*;
use std::fmt;

/// The process that issues orders to the engines of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The host on which the process runs.
    pub host: HostId,
    /// The incarnation of the process; a restarted process is another holder.
    pub incarnation: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.host, self.incarnation)
    }
}
