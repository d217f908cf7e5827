//! The account of the memory that a process spends on its clients, shared by its threads.

mod account_inner;
mod counted_bytes;
mod holder;
mod kept_bytes;
mod memory_account;
mod memory_counts;
mod memory_share;
mod no_room;
mod refusal_cause;

pub use memory_account::MemoryAccount;
pub use memory_counts::MemoryCounts;
pub use memory_share::MemoryShare;
pub use refusal_cause::RefusalCause;

pub(crate) use counted_bytes::CountedBytes;
pub(crate) use holder::{Evicted, Holder};
pub(crate) use kept_bytes::KeptBytes;
pub(crate) use no_room::NoRoom;
