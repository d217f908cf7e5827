use masticstair_core::id::NameError;
use masticstair_core::toml_reader::FieldErrors;
use std::io;
use thiserror::Error;

/// The reason for which the stand-ins did not run.
#[derive(Debug, Error)]
pub enum StandInsError {
    /// The bundle of the examples cannot be read.
    #[error("the bundle of the examples is invalid:\n{0}")]
    Bundle(#[from] FieldErrors),
    /// A data centre has an invalid name.
    #[error("data centre: {0}")]
    DataCentre(#[from] NameError),
    /// The operating system refused something.
    #[error("cannot run the stand-ins: {0}")]
    Io(#[from] io::Error),
}
