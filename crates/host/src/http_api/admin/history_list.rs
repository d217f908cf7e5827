use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::HistoryEntry;

/// One page of the history, newest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryList {
    /// The revision in force; 0 if there is none.
    pub revision: Revision,
    /// The bundles of this page; at most as many as the request allows.
    pub bundles: Vec<HistoryEntry>,
    /// The value of `cursor` for the next page; `None` on the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_cursor: Option<Sha256Digest>,
}
