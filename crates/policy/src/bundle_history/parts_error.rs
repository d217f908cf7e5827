use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason for which the parts of a snapshot are refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PartsError {
    /// An entry names a chunk that is not there.
    #[error("the content {0} lacks a piece")]
    MissingChunk(Sha256Digest),
    /// The content of the revision in force is not there.
    #[error("the content {0} of the revision in force is missing")]
    MissingContent(Sha256Digest),
    /// The content of the revision in force has another digest or cannot be read.
    #[error("the content {digest} of the revision in force cannot be read: {detail}")]
    Unreadable {
        /// The digest of the content.
        digest: Sha256Digest,
        /// The errors in the content.
        detail: Box<str>,
    },
    /// The revisions do not rise.
    #[error("revision {0} does not follow the one before it")]
    RevisionOrder(Revision),
}
