use serde::{Deserialize, Serialize};

/// The state of an endpoint; within one incarnation it only advances in the order of the variants.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ServingState {
    /// The endpoint accepts new work.
    #[default]
    Ready,
    /// The endpoint completes its calls and accepts no new work.
    Leaving,
    /// The endpoint announced its departure.
    Gone,
}
