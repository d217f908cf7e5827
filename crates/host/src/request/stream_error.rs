use super::stage_error::StageError;

/// How streaming to the caller ended without the whole answer.
pub(super) enum StreamError {
    /// The stage failed.
    Stage(StageError),
    /// The caller closed the connection.
    Closed,
}
