use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason for which a host serves nothing.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NotServing {
    /// The control thread has not started.
    #[error("the host is still starting")]
    Starting,
    /// No other host has answered since the start, so a newer revision may exist.
    #[error("no other host has answered yet")]
    NotSynced,
    /// Another process with the name of this host is newer.
    #[error("incarnation {0} of this host is known, which is later than this process")]
    Superseded(Incarnation),
    /// There is no bundle.
    #[error("no bundle is in force")]
    NoBundle,
    /// A newer revision could not be fetched.
    #[error("revision {newest} is known, but only {held} is held here")]
    Behind {
        /// The revision in force here.
        held: Revision,
        /// The newest revision that is known.
        newest: Revision,
    },
}
