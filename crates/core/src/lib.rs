//! Core types of masticstair: identifiers, units, bundles, catalogs, messages, outcomes and a TOML reader
//! that validates its input.

#[macro_use]
mod macros;

pub mod bundle;
pub mod catalog;
pub mod endpoint_api;
pub mod id;
pub mod message;
pub mod outcome;
pub mod prelude;
pub mod toml_reader;
pub mod unit;
