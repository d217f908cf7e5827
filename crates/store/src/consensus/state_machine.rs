use masticstair_core::id::LogIndex;

use super::RestoreError;

/// Applies the encoded command at an index and returns the encoded reply.
pub type ApplyFn = Box<dyn FnMut(LogIndex, &[u8]) -> Box<[u8]>>;
/// Answers an encoded query from the current state.
pub type QueryFn = Box<dyn Fn(&[u8]) -> Box<[u8]>>;
/// Replaces the whole state by an encoded snapshot.
pub type RestoreFn = Box<dyn FnMut(&[u8]) -> Result<(), RestoreError>>;

/// The replicated state machine as closures over encoded commands. No closure may call the node.
pub struct StateMachine {
    /// Applies a committed command and returns the encoded reply. Must be deterministic: the result is
    /// the same on every replica.
    pub apply: ApplyFn,
    /// Answers an encoded query; must not change the state.
    pub query: QueryFn,
    /// Encodes the whole state.
    pub snapshot: Box<dyn Fn() -> Box<[u8]>>,
    /// Replaces the whole state. After an error the node stops acknowledging.
    pub restore: RestoreFn,
}
