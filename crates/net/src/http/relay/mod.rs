//! The HTTP client for requests that are relayed to endpoints unchanged.
//!
//! Endpoints send bodies with a length, in chunks, or delimited by the end of the connection. `monoio-http`
//! cannot read the last kind, so this client uses `hyper`. `hyper` also distinguishes endpoints that respond
//! before the request is complete, respond twice, or send more than the announced length.

mod answer_buffer;
mod answer_room;
mod probe_outcome;
mod read_connection;
mod relay_body;
mod relay_call;
mod relay_connection;
mod relay_error;
mod relay_head;
mod relay_pool;

pub use answer_room::{AnswerRoom, RoomShare};
pub use probe_outcome::ProbeOutcome;
pub use read_connection::ReadConnection;
pub use relay_body::RelayBody;
pub use relay_call::RelayCall;
pub use relay_error::RelayError;
pub use relay_head::RelayHead;
pub use relay_pool::RelayPool;
