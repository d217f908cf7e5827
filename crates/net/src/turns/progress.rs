use masticstair_core::unit::ByteCount;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

use crate::memory::MemoryShare;

/// A read of so many bytes fills the first buffer of the HTTP library, which then takes larger ones.
const LARGE_READ: usize = 8 << 10;

/// Counts the bytes that a peer has sent since the last part of a message that could be used, such as a head or a
/// piece of a body. Clones share the count.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    unused: Rc<Cell<u64>>,
    limit: ByteCount,
    /// Covers what is read ahead, from the first large read on.
    share: Rc<RefCell<MemoryShare>>,
    read_ahead: ByteCount,
}

impl Progress {
    /// Allows `limit` bytes without progress. It must exceed what the reader buffers, which is `read_ahead` once the peer
    /// sends much at once, and counts in `share` from then on.
    pub(crate) fn new(limit: ByteCount, share: MemoryShare, read_ahead: ByteCount) -> Self {
        Self { unused: Rc::default(), limit, share: Rc::new(RefCell::new(share)), read_ahead }
    }

    /// Records that a part of a message was used.
    pub(crate) fn record_progress(&self) {
        self.unused.set(0);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if the bytes since the last progress exceed the limit.
    pub(crate) fn record_read(&self, bytes: usize) -> io::Result<()> {
        self.unused.set(self.unused.get() + bytes as u64);
        if bytes >= LARGE_READ {
            let mut share = self.share.borrow_mut();
            if share.size() < self.read_ahead {
                share.force(self.read_ahead);
            }
        }
        if self.unused.get() > self.limit.get() {
            let message = format!("more than {} bytes that are no message", self.limit);
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }
}
