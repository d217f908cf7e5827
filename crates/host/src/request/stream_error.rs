use super::stage_error::StageError;

/// Why a stream to the caller ended before the answer was complete.
pub(super) enum StreamError {
    /// The stage failed.
    Stage(StageError),
    /// The caller closed the connection.
    Closed,
}
