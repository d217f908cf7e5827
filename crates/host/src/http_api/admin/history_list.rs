use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::HistoryEntry;

/// A page of the history, newest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryList {
    /// The revision in force; 0 when there is none.
    pub revision: Revision,
    /// The bundles.
    pub bundles: Vec<HistoryEntry>,
    /// The value of `cursor` for the next page; none on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_cursor: Option<Sha256Digest>,
}
