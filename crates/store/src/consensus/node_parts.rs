use masticstair_core::message::Replica;
use slog::Logger;

use super::{Config, PeerLink, RecoveredState, StateMachine, Storage};

/// What a node is built from.
pub struct NodeParts {
    /// This replica: the identity of the data folder, the host and its data centre.
    pub local_replica: Replica,
    /// Timings and bounds.
    pub cfg: Config,
    /// What storage held.
    pub recovered: RecoveredState,
    /// Durable storage.
    pub storage: Storage,
    /// The replicated state, empty; the node restores the snapshot into it.
    pub state_machine: StateMachine,
    /// Makes the way to another replica; called once for each replica id in use.
    pub connect: Box<dyn Fn(&Replica) -> PeerLink>,
    /// Receives changes of role and faults.
    pub log: Logger,
}
