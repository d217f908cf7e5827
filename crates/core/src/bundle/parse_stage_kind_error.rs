use thiserror::Error;

/// The text does not name a stage kind; the message lists the valid names.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("encode, retrieve, rerank, generate or service")]
pub struct ParseStageKindError;
