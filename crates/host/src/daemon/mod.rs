//! Starts and stops the threads of a host.

mod gateway_thread;
mod reload;
mod run;
mod worker;

pub use gateway_thread::{GatewayThread, start_gateway};
pub use run::{RunError, run};
pub use worker::{StartError, Workers, start_workers};
