//! The tasks of a node: one for storage, elections, applying and membership, and one for each peer.

mod answer;
mod apply;
mod campaign;
mod elect;
mod handle_answer;
mod lead;
mod membership;
mod next_message;
mod outgoing;
mod persist;
mod replicate;
mod yield_now;

pub(crate) use apply::apply;
pub(crate) use elect::elect;
pub(crate) use lead::spawn_peers;
pub(crate) use membership::{manage_membership, membership_view};
pub(crate) use persist::persist;
