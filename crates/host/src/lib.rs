//! The daemon that runs on every host of masticstair: it serves pipelines to callers, tracks endpoints and
//! other hosts, and replicates the configuration.

pub mod control;
pub mod daemon;
pub mod http_api;
pub mod membership;
pub mod request;
pub mod settings;
pub mod state;
pub mod telemetry;
pub mod traffic;
