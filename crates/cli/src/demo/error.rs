use masticstair_core::toml_reader::FieldErrors;
use masticstair_host::daemon::StartError;
use std::io;
use thiserror::Error;

use crate::trace::TraceError;

/// The reason for which the demo ended without a report.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The bundle has errors.
    #[error("the bundle of the demo is invalid:\n{0}")]
    Bundle(#[from] FieldErrors),
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
