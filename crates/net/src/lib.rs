//! Runtime, HTTP and Cap'n Proto transport of masticstair.

mod generated;
pub mod http;
pub mod peer;
pub mod runtime;
