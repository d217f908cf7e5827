use masticstair_core::unit::ByteCount;
use masticstair_policy::memory_account::MemoryKind;

use super::MemoryAccount;

/// A holding, which is given back once the share is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    account: MemoryAccount,
    kind: MemoryKind,
    size: ByteCount,
}

impl MemoryShare {
    pub(super) fn new(account: MemoryAccount, kind: MemoryKind) -> Self {
        Self { account, kind, size: ByteCount::new(0) }
    }

    /// Returns the size of the holding.
    pub fn size(&self) -> ByteCount {
        self.size
    }

    /// Changes the size of the holding. Returns false, and changes nothing, if there is no room.
    pub fn resize(&mut self, size: ByteCount) -> bool {
        let is_changed = self.account.resize(self.kind, self.size, size);
        if is_changed {
            self.size = size;
        }
        is_changed
    }

    /// Counts memory that is in use already.
    pub(crate) fn force(&mut self, size: ByteCount) {
        self.account.force(self.kind, self.size, size);
        self.size = size;
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.force(ByteCount::new(0));
    }
}
