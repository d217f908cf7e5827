use masticstair_core::toml_reader::FieldErrors;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why a settings file is refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {file}: {source}", file = file.display())]
    Read {
        /// The path of the file as given.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file was read but its content is invalid.
    #[error("settings file {file}:\n{errors}", file = file.display())]
    Invalid {
        /// The path of the file as given.
        file: PathBuf,
        /// Every error in the file, not only the first.
        errors: FieldErrors,
    },
}
