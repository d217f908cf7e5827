use masticstair_core::unit::ByteCount;
use masticstair_policy::answer_room::may_grow;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The memory that the answers which a worker keeps take together. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct AnswerRoom {
    /// The sum of all shares. Atomic because the owner of `Bytes` must be `Send`.
    held: Arc<AtomicU64>,
}

impl AnswerRoom {
    /// Returns an empty share.
    pub fn share(&self) -> RoomShare {
        RoomShare { room: self.clone(), size: ByteCount::new(0) }
    }

    /// Returns the memory that is in use.
    pub fn held(&self) -> ByteCount {
        ByteCount::new(self.held.load(Ordering::Relaxed))
    }
}

/// The memory of one answer, which is free again once the share is dropped.
#[derive(Debug)]
pub struct RoomShare {
    room: AnswerRoom,
    size: ByteCount,
}

impl RoomShare {
    /// Changes the size of the share. Returns false, and changes nothing, if there is no room.
    pub fn resize(&mut self, size: ByteCount) -> bool {
        if size > self.size && !may_grow(self.room.held(), self.size, size) {
            return false;
        }
        self.room.held.fetch_sub(self.size.get(), Ordering::Relaxed);
        self.room.held.fetch_add(size.get(), Ordering::Relaxed);
        self.size = size;
        true
    }
}

impl Drop for RoomShare {
    fn drop(&mut self) {
        self.room.held.fetch_sub(self.size.get(), Ordering::Relaxed);
    }
}
