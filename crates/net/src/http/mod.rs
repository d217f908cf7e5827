//! HTTP/1.1: the server side that callers, endpoints and operators reach, and the client side that
//! reaches endpoints.

pub mod client;
pub mod relay;
pub mod server;
pub mod sse;
