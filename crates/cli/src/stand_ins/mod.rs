//! Endpoints of a deployment as a process of its own, for a local run with several hosts.

mod error;
mod run;

pub use error::StandInsError;
pub use run::{StandInsOptions, run_stand_ins};
