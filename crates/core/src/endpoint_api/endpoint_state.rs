use serde::{Deserialize, Serialize};

/// Whether an endpoint accepts new calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Accepts new calls.
    Ready,
    /// Completes the calls in progress and accepts no new ones; final for an incarnation.
    Leaving,
}
