//! Conversions between the generated Cap'n Proto code and plain structs. No other module reads or writes the
//! wire format. The read functions return an error for unknown enum values, invalid names, and data or lists
//! of an invalid length.

pub(super) mod address;
pub(super) mod append;
pub(super) mod bundle;
pub(super) mod endpoint_record;
pub(super) mod formation;
pub(super) mod gossip;
pub(super) mod hello;
pub(super) mod host_record;
pub(super) mod log_entry;
pub(super) mod propose;
pub(super) mod read;
pub(super) mod snapshot;
#[cfg(test)]
mod tests;
pub(super) mod text;
pub(super) mod vote;
pub(super) mod voter_set;
