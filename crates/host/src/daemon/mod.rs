//! Starts and stops the threads of a host.

mod run;
mod worker;

pub use run::{RunError, run};
pub use worker::{StartError, Workers, start_workers};
