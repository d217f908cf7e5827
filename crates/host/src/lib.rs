//! The daemon that runs on every entry host of masticstair.

pub mod membership;
