//! What a scene runs: hosts with a bundle, and stand-ins on threads of their own.

mod bench_host;
mod bundle;
mod endpoint_thread;

pub use bench_host::{HostSize, start_host};
pub use bundle::{TOKEN, bundle_text};
pub use endpoint_thread::{EndpointSpec, EndpointThread};
