//! The HTTP server: one task per connection; heads and bodies are limited in size and time.

mod body_aborted;
mod body_closed;
mod body_sender;
mod body_stream;
mod connection;
mod connection_count;
mod connection_memory;
mod count_guard;
mod counted_stream;
mod large_body_limit;
mod listen;
mod phase;
mod read_body;
mod request;
mod response;
mod response_body;
mod response_content;
mod server_limits;

pub use body_aborted::BodyAborted;
pub use body_closed::BodyClosed;
pub use body_sender::BodySender;
pub use body_stream::{BodyStream, body_stream};
pub use connection_count::ConnectionCount;
pub use large_body_limit::LargeBodyLimit;
pub use listen::{bind, serve, serve_within};
pub use request::Request;
pub use response::Response;
pub use response_content::ResponseContent;
pub use server_limits::ServerLimits;

use futures_util::future::{LocalBoxFuture, Shared};
use std::rc::Rc;

/// Completes when the server is asked to stop; every connection holds a clone.
pub(crate) type Stop = Shared<LocalBoxFuture<'static, ()>>;

/// Handles one request. The future is dropped when the client closes the connection.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response>>;
