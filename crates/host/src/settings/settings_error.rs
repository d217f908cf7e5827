use masticstair_core::toml_reader::FieldErrors;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The reason for which settings are refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {file}: {source}", file = file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file has errors.
    #[error("settings file {file}:\n{errors}", file = file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Every error found.
        errors: FieldErrors,
    },
}
