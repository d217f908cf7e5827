use serde::{Deserialize, Serialize};
use std::fmt::{Display, Formatter};
use std::str::FromStr;
use thiserror::Error;

/// What an operator orders for a data centre.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EvacuationAction {
    /// Its endpoints get no more work.
    Begin,
    /// Its endpoints take work again.
    End,
}

impl Display for EvacuationAction {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Begin => "begin",
            Self::End => "end",
        })
    }
}

/// The text names no action.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected begin or end")]
pub struct ParseEvacuationActionError;

impl FromStr for EvacuationAction {
    type Err = ParseEvacuationActionError;

    fn from_str(s: &str) -> Result<Self, ParseEvacuationActionError> {
        match s {
            "begin" => Ok(Self::Begin),
            "end" => Ok(Self::End),
            _ => Err(ParseEvacuationActionError),
        }
    }
}
