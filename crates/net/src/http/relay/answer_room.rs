use masticstair_core::unit::ByteCount;
use masticstair_policy::answer_room::may_grow;
use masticstair_policy::memory_account::MemoryKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::memory::{MemoryAccount, MemoryShare};

/// The memory that the answers which a worker keeps take together. It is a part of the account of the process. Clones
/// share it.
#[derive(Clone, Debug, Default)]
pub struct AnswerRoom {
    account: MemoryAccount,
    /// The sum of all shares. Atomic because the owner of `Bytes` must be `Send`.
    held: Arc<AtomicU64>,
}

impl AnswerRoom {
    /// Creates an empty room in an account.
    pub fn new(account: MemoryAccount) -> Self {
        Self { account, held: Arc::default() }
    }

    /// Returns an empty share.
    pub fn share(&self) -> RoomShare {
        let share = self.account.share(MemoryKind::Answer);
        RoomShare { room: self.clone(), share }
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
    share: MemoryShare,
}

impl RoomShare {
    /// Changes the size of the share. Returns false, and changes nothing, if there is no room.
    pub fn resize(&mut self, size: ByteCount) -> bool {
        let before = self.share.size();
        if size > before && !may_grow(self.room.held(), before, size) {
            return false;
        }
        if !self.share.resize(size) {
            return false;
        }
        self.room.held.fetch_sub(before.get(), Ordering::Relaxed);
        self.room.held.fetch_add(size.get(), Ordering::Relaxed);
        true
    }
}

impl Drop for RoomShare {
    fn drop(&mut self) {
        self.room.held.fetch_sub(self.share.size().get(), Ordering::Relaxed);
    }
}
