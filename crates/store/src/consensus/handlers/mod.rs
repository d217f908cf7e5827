//! Handlers for messages of other replicas.

mod append;
mod follow_leader;
mod install_snapshot;
mod snapshot;
mod vote;

pub(crate) use append::append;
pub(crate) use snapshot::snapshot;
pub(crate) use vote::vote;
