use serde::{Deserialize, Serialize};

/// How far an endpoint is in one life. The state only rises.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ServingState {
    /// It takes new work.
    #[default]
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It said that it ends.
    Gone,
}
