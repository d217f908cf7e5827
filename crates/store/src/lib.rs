//! Replicated log, durable storage and replicated state of masticstair.

pub mod consensus;
pub mod state;
pub mod storage;
