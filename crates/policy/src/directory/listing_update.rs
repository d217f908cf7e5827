use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::ListingChange;

/// What a control host tells an entry host that follows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListingUpdate {
    /// The process that answers; its positions mean nothing to another one.
    pub incarnation: Incarnation,
    /// The position up to which `changes` go.
    pub position: u64,
    /// Whether `changes` are all that is listed, and not only what changed since the position asked for.
    pub complete: bool,
    /// Whether the process has run for long enough to have heard of every endpoint that announces to it.
    pub settled: bool,
    /// The changes.
    pub changes: Vec<ListingChange>,
}
