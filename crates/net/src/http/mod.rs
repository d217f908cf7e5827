//! HTTP/1.1: the server for clients, endpoints and operators, and the clients that send requests to
//! endpoints.

pub mod client;
mod final_status;
pub mod relay;
pub mod server;
pub mod sse;
