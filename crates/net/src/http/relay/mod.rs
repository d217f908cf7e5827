//! The HTTP client for requests that are passed on as they came.
//!
//! Endpoints answer with a length, in chunks, or until they close the connection; some answer early, twice
//! or too long. `hyper` tells these apart, and `monoio-http` does not read a body without a length.

mod relay_body;
mod relay_call;
mod relay_connection;
mod relay_error;
mod relay_head;
mod relay_pool;

pub use relay_body::RelayBody;
pub use relay_call::RelayCall;
pub use relay_error::RelayError;
pub use relay_head::RelayHead;
pub use relay_pool::RelayPool;
