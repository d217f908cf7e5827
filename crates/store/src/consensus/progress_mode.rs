use std::rc::Rc;

use super::snapshot::Snapshot;

/// How the leader sends to a peer.
#[derive(Clone, Debug)]
pub(crate) enum ProgressMode {
    /// One append at a time, until one succeeds.
    Probe,
    /// Several appends in flight.
    Stream,
    /// The pieces of a snapshot, one at a time.
    Snapshot {
        /// The snapshot.
        snapshot: Rc<Snapshot>,
        /// Where the next piece begins.
        offset: u64,
    },
}
