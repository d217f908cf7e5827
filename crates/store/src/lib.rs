//! The storage layer of masticstair: the replicated log, durable storage, the replica that joins both, and the
//! replicated state machine.

pub mod consensus;
pub mod replica;
pub mod state;
pub mod storage;
