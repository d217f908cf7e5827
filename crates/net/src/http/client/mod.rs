//! The HTTP client towards endpoints: a connection pool for each worker.

mod body;
mod body_decoder;
mod call;
mod connection;
mod error;
mod pool;

pub use body::ClientBody;
pub use call::Call;
pub use error::ClientError;
pub use pool::{ClientLimits, ConnectionPool, ResponseHead};
