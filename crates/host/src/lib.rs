//! The daemon that runs on every entry host of masticstair.

pub mod control;
pub mod daemon;
pub mod http_api;
pub mod membership;
pub mod request;
pub mod settings;
pub mod state;
pub mod telemetry;
pub mod traffic;
