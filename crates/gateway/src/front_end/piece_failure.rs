use serde::{Deserialize, Serialize};

/// Why an endpoint did not complete a piece.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PieceFailure {
    /// Its deadline passed while it was queued.
    Late,
    /// An input no longer exists.
    InputGone,
    /// The endpoint has no memory for the result.
    NoRoom,
    /// Any other failure.
    Failed,
}
