use masticstair_core::toml_reader::FieldErrors;
use masticstair_host::control::ControlStartError;
use masticstair_host::daemon::StartError;
use std::io;
use thiserror::Error;

use crate::operator::KeyError;
use crate::trace::TraceError;

/// The reason for which the demo ended without a report.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The bundle cannot be read.
    #[error("the bundle of the demo is invalid:\n{0}")]
    Fields(#[from] FieldErrors),
    /// The bundle was not put in force.
    #[error("the bundle of the demo is refused: {0}")]
    Bundle(Box<str>),
    /// The key of the examples cannot be read.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The control thread did not start.
    #[error(transparent)]
    Control(#[from] ControlStartError),
    /// The settings have errors.
    #[error("the settings of the demo are invalid:\n{0}")]
    Settings(FieldErrors),
    /// The trace has errors.
    #[error("the trace of the demo is invalid: {0}")]
    Trace(#[from] TraceError),
    /// The host did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The operating system refused something.
    #[error("cannot run the demo: {0}")]
    Io(#[from] io::Error),
    /// The endpoints did not announce themselves.
    #[error("the host knows {known} of {expected} endpoints after {waited_ms} ms")]
    Endpoints {
        /// Endpoints that the host knows.
        known: usize,
        /// Endpoints that were started.
        expected: usize,
        /// How long the demo waited.
        waited_ms: u64,
    },
    /// A thread of the demo panicked.
    #[error("a thread of the demo panicked")]
    Panicked,
}
