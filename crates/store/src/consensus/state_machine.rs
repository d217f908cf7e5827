use masticstair_core::id::LogIndex;

use super::RestoreError;

/// Applies a command at an index and returns the encoded reply.
pub type ApplyFn = Box<dyn FnMut(LogIndex, &[u8]) -> Box<[u8]>>;
/// Answers an encoded query.
pub type QueryFn = Box<dyn Fn(&[u8]) -> Box<[u8]>>;
/// Replaces the whole state.
pub type RestoreFn = Box<dyn FnMut(&[u8]) -> Result<(), RestoreError>>;

/// The replicated state as closures over encoded commands. No closure may call the node.
pub struct StateMachine {
    /// Applies a committed command and returns the encoded reply; the same on every replica.
    pub apply: ApplyFn,
    /// Answers an encoded query.
    pub query: QueryFn,
    /// Encodes the whole state.
    pub snapshot: Box<dyn Fn() -> Box<[u8]>>,
    /// Replaces the whole state.
    pub restore: RestoreFn,
}
