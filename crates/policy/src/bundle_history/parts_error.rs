use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason why a snapshot of the bundle history is rejected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PartsError {
    /// An entry refers to a chunk that the snapshot does not contain.
    #[error("the content {0} lacks a piece")]
    MissingChunk(Sha256Digest),
    /// The snapshot does not contain the content of the revision in force.
    #[error("the content {0} of the revision in force is missing")]
    MissingContent(Sha256Digest),
    /// The content of the revision in force has another digest or cannot be parsed.
    #[error("the content {digest} of the revision in force cannot be read: {detail}")]
    Unreadable {
        /// The digest that the revision in force names.
        digest: Sha256Digest,
        /// The parse errors, or the digest that the content has instead.
        detail: Box<str>,
    },
    /// The revisions are not in ascending order; carries the first that is out of order.
    #[error("revision {0} does not follow the one before it")]
    RevisionOrder(Revision),
}
