use masticstair_policy::bundle_history::PartsError;
use thiserror::Error;

use super::CodecError;

/// The reason for which a snapshot is refused; the state is then as it was before.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RestoreError {
    /// The bytes do not begin as a snapshot does.
    #[error("the bytes are no snapshot of the replicated state")]
    Magic,
    /// The format is of another version.
    #[error("snapshot format version {found} is not known (this release reads {known})")]
    Version {
        /// The version of the snapshot.
        found: u8,
        /// The version that this release reads and writes.
        known: u8,
    },
    /// A value cannot be read.
    #[error("the snapshot is damaged: {0}")]
    Codec(#[from] CodecError),
    /// The bundle history does not fit together.
    #[error("the bundle history of the snapshot is damaged: {0}")]
    History(#[from] PartsError),
}
