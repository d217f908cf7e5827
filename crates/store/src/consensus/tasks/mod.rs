//! The tasks of a node: one each for storage, elections, applying and membership, and one per peer.

mod apply;
mod campaign;
mod elect;
mod handle_reply;
mod lead;
mod membership;
mod next_step;
mod peer_reply;
mod persist;
mod replicate;
mod replication_step;
mod yield_now;

pub(crate) use apply::apply;
pub(crate) use elect::elect;
pub(crate) use lead::spawn_replication_tasks;
pub(crate) use membership::{manage_membership, membership_view};
pub(crate) use persist::persist;
