//! The replica of a host with a data folder: its storage and its node, started anew after a storage fault.
//!
//! A failed write or sync leaves unknown what is on the disk, and reading it back proves nothing, because the
//! operating system may return pages that never reached the disk. The storage therefore writes nothing more,
//! the node acknowledges nothing more, and both are dropped. A new storage then recovers the folder, which
//! writes the end of the log to a new file before anything counts, and a new node starts from the recovered
//! state, as after a restart of the process.

mod local_replica;
mod open_folder;
mod replica_error;
mod replica_parts;
mod restart_delay;
mod running_replica;
mod storage_adapter;
#[cfg(test)]
mod tests;

pub use local_replica::LocalReplica;
pub use replica_error::ReplicaError;
pub use replica_parts::{ChangedFn, OpenFn, ReplicaParts, StartFn};

pub(crate) use restart_delay::RestartDelay;
pub(crate) use running_replica::RunningReplica;
