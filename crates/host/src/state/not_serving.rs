use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason why a host serves no requests.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NotServing {
    /// The control thread has not started.
    #[error("the host is still starting")]
    Starting,
    /// No other host has answered since the start, so this host may miss a newer revision.
    #[error("no other host has answered yet")]
    NotSynced,
    /// Another process with the name of this host has a later incarnation.
    #[error("incarnation {0} of this host is known, which is later than this process")]
    Superseded(Incarnation),
    /// No bundle has ever been put in force.
    #[error("no bundle is in force")]
    NoBundle,
    /// A newer revision has been known for longer than the allowed time but could not be fetched.
    #[error("revision {newest} is known, but only {held} is held here")]
    Behind {
        /// The revision in force here.
        held: Revision,
        /// The newest revision known from other hosts.
        newest: Revision,
    },
}
