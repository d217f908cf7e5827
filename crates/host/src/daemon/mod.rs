//! Starts the threads of a host, reloads its settings and shuts it down.

mod gateway_thread;
mod reload;
mod run;
mod run_error;
mod start_error;
mod workers;

pub use gateway_thread::{GatewayThread, start_gateway};
pub use run::run;
pub use run_error::RunError;
pub use start_error::StartError;
pub use workers::{Workers, start_workers};
