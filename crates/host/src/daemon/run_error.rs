use std::io;
use thiserror::Error;

use super::StartError;
use crate::control::ControlStartError;

/// The reason for which a host ended.
#[derive(Debug, Error)]
pub enum RunError {
    /// The control thread did not start.
    #[error(transparent)]
    Control(#[from] ControlStartError),
    /// The threads did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The signals cannot be caught.
    #[error("cannot catch signals: {0}")]
    Signals(#[from] io::Error),
}
