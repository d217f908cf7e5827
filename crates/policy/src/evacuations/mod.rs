//! Which data centres get no more work: the table of the replicated log, and what a host has been told of it.

mod evacuation;
mod evacuation_action;
mod evacuation_changes;
mod evacuation_listing;
mod evacuation_order;
mod evacuation_register;
mod evacuation_reply;
mod evacuations_in_force;
mod order_refusal;
mod pause_watch;
mod signed_order;

pub use evacuation::Evacuation;
pub use evacuation_action::{EvacuationAction, ParseEvacuationActionError};
pub use evacuation_changes::EvacuationChanges;
pub use evacuation_listing::EvacuationListing;
pub use evacuation_order::EvacuationOrder;
pub use evacuation_register::{EvacuationRegister, MAX_DATA_CENTRES};
pub use evacuation_reply::EvacuationReply;
pub use evacuations_in_force::EvacuationsInForce;
pub use order_refusal::OrderRefusal;
pub use pause_watch::PauseWatch;
pub use signed_order::SignedOrder;
