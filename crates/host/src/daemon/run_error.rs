use std::io;
use thiserror::Error;

use super::StartError;
use crate::control::ControlStartError;

/// The reason why a host ended with an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// The control thread did not start.
    #[error(transparent)]
    Control(#[from] ControlStartError),
    /// The workers or the gateway did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[from] io::Error),
}
