use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes none; final for an incarnation.
    Leaving,
}
