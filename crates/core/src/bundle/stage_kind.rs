use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

use super::ParseStageKindError;

/// The kind of work that a stage does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum StageKind {
    /// Computes embedding vectors of a text.
    Encode,
    /// Retrieves candidate documents.
    Retrieve,
    /// Ranks retrieved documents by relevance.
    Rerank,
    /// Generates text with a model engine.
    Generate,
    /// Calls a service without a model.
    Service,
}

impl StageKind {
    /// All kinds in the order of their declaration.
    pub const ALL: [Self; 5] =
        [Self::Encode, Self::Retrieve, Self::Rerank, Self::Generate, Self::Service];

    /// Returns the name that bundles and messages use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate => "generate",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for StageKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for StageKind {
    type Err = ParseStageKindError;

    fn from_str(s: &str) -> Result<Self, ParseStageKindError> {
        Self::ALL.into_iter().find(|k| k.as_str() == s).ok_or(ParseStageKindError)
    }
}
