use masticstair_core::toml_reader::FieldErrors;
use std::io;
use thiserror::Error;

use crate::demo::DemoError;

/// The reason for which a measurement gave no report.
#[derive(Debug, Error)]
pub enum BenchError {
    /// A host did not start.
    #[error(transparent)]
    Host(#[from] DemoError),
    /// The operating system refused something.
    #[error("cannot run the measurement: {0}")]
    Io(#[from] io::Error),
    /// The bundle cannot be read.
    #[error("the bundle of the measurement is invalid:\n{0}")]
    Fields(#[from] FieldErrors),
    /// A thread of the measurement panicked.
    #[error("a thread of the measurement panicked")]
    Panicked,
    /// Nothing was measured.
    #[error("scene {0} had no successful call")]
    Empty(&'static str),
}
