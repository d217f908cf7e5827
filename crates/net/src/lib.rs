//! Runtime, HTTP and Cap'n Proto transport of masticstair.

pub mod http;
pub mod peer;
pub mod runtime;
