//! The HTTP client for requests that are relayed to endpoints unchanged.
//!
//! It uses `hyper`, because `monoio-http` cannot read a body that is delimited by the end of the
//! connection. Besides those, endpoints send bodies with a length or in chunks, and some respond before the
//! request is complete, respond twice, or send more than the announced length; `hyper` distinguishes these
//! cases.

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
