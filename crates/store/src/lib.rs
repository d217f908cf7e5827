//! The storage layer of masticstair: the replicated log, durable storage and the replicated state
//! machine.

pub mod consensus;
pub mod state;
pub mod storage;
