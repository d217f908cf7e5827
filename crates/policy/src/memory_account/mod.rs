//! The memory that a process spends on what clients make it hold: their connections, heads and bodies, and the answers
//! that they have not read.
//!
//! One account covers all listeners. It never exceeds its bounds; if there is no room, the connection that holds the
//! most and has kept the process waiting gives way.

mod choose_victim;
mod connection_limit;
mod held_memory;
mod holder_number;
mod holder_view;
mod memory_bounds;
mod memory_kind;

pub use choose_victim::{choose_blocked, choose_excess, choose_idle, choose_victim};
pub use connection_limit::{ListenerShare, connection_limit};
pub use held_memory::HeldMemory;
pub use holder_number::HolderNumber;
pub use holder_view::HolderView;
pub use memory_bounds::MemoryBounds;
pub use memory_kind::MemoryKind;
