//! A host and stand-ins of both deployments in one process, with a short recorded trace replayed against
//! them.

mod deployment;
mod endpoints;
mod error;
mod host;
mod run;

pub use error::DemoError;
pub use run::{DemoOptions, run_demo};
