use masticstair_policy::bundle_history::PartsError;
use thiserror::Error;

use super::CodecError;

/// The reason why a snapshot was rejected. The state is then unchanged.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RestoreError {
    /// The bytes do not start with the magic number of a snapshot.
    #[error("the bytes are no snapshot of the replicated state")]
    Magic,
    /// The format version is not supported.
    #[error("snapshot format version {found} is not known (this release reads {known})")]
    Version {
        /// The format version of the snapshot.
        found: u8,
        /// The newest format version that this release reads; the one that it writes.
        known: u8,
    },
    /// A value cannot be decoded.
    #[error("the snapshot is damaged: {0}")]
    Codec(#[from] CodecError),
    /// The bundle history is inconsistent.
    #[error("the bundle history of the snapshot is damaged: {0}")]
    History(#[from] PartsError),
}
