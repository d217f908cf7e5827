//! Async runtime, HTTP server and clients, and the Cap'n Proto RPC transport between hosts.

mod generated;
pub mod http;
pub mod memory;
pub mod peer;
pub mod runtime;
mod turns;
