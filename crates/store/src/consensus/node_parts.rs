use masticstair_core::message::Replica;
use slog::Logger;

use super::{Config, PeerLink, RecoveredState, StateMachine, Storage};

/// The configuration and dependencies of a `Node`.
pub struct NodeParts {
    /// This replica: the id from the data folder, the host and its data centre.
    pub local_replica: Replica,
    /// Timeouts, intervals and size limits.
    pub cfg: Config,
    /// The state read from storage.
    pub recovered: RecoveredState,
    /// Durable storage; used by one task, one call at a time.
    pub storage: Storage,
    /// The state machine in its initial state; the node restores the recovered snapshot into it.
    pub state_machine: StateMachine,
    /// Creates the link to another replica; called once per replica id in use.
    pub connect: Box<dyn Fn(&Replica) -> PeerLink>,
    /// The logger for role changes and faults.
    pub log: Logger,
}
