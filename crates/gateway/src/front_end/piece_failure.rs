use serde::{Deserialize, Serialize};

/// Why an endpoint did not make a piece.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PieceFailure {
    /// Its time passed before its turn.
    Late,
    /// An input is gone.
    InputGone,
    /// The endpoint has no memory for the result.
    NoRoom,
    /// Anything else.
    Failed,
}
