use std::rc::Rc;

use super::snapshot::Snapshot;

/// How the leader sends to a peer.
#[derive(Clone, Debug)]
pub(crate) enum ProgressMode {
    /// One append at a time, until one succeeds.
    Probe,
    /// Pipelined appends, up to `Config::max_in_flight_appends`.
    Stream,
    /// Snapshot chunks, one at a time.
    Snapshot {
        snapshot: Rc<Snapshot>,
        /// The offset of the next chunk, in bytes.
        offset: u64,
    },
}
