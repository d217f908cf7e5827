use thiserror::Error;

/// The text is not a kind of stage.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("encode, retrieve, rerank, generate or service")]
pub struct ParseStageKindError;
