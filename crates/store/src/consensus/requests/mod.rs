//! Requests of the host to its node.

mod change;
mod form;
mod propose;
mod read;
mod status;
mod transfer;

pub(crate) use change::change_voters;
pub(crate) use form::{form, formation_answer};
pub(crate) use propose::propose;
pub(crate) use read::read;
pub(crate) use status::status;
pub(crate) use transfer::transfer_leadership;
