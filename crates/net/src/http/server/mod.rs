//! The HTTP server: one task for each connection, every input bounded in size and time.

mod body_stream;
mod connection;
mod connection_count;
mod large_body;
mod limits;
mod listen;
mod read_body;
mod request;
mod response;
mod response_body;

pub use body_stream::{BodyAborted, BodyClosed, BodySender, BodyStream, body_stream};
pub use connection_count::ConnectionCount;
pub use large_body::LargeBody;
pub use limits::ServerLimits;
pub use listen::{bind, serve};
pub use request::Request;
pub use response::{Response, ResponseContent};

use futures_util::future::{LocalBoxFuture, Shared};
use std::rc::Rc;

/// Completes when the server stops.
pub(crate) type Stop = Shared<LocalBoxFuture<'static, ()>>;

/// Answers one request. The future is dropped when the caller closes the connection.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response>>;
