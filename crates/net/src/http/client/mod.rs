//! The HTTP client for calls to endpoints, with one connection pool per worker.

mod body_decoder;
mod call;
mod client_body;
mod client_error;
mod client_limits;
mod connection;
mod connection_pool;
mod pool_inner;
mod response_head;

pub use call::Call;
pub use client_body::ClientBody;
pub use client_error::ClientError;
pub use client_limits::ClientLimits;
pub use connection_pool::ConnectionPool;
pub use response_head::ResponseHead;
