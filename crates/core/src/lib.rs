//! Core types of masticstair: identifiers, units, bundles, outcomes and the checked reading of TOML.

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
