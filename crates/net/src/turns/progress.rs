use masticstair_core::unit::ByteCount;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Counts the bytes that a peer has sent since the last part of a message that could be used, such as a head or a
/// piece of a body. Clones share the count.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    unused: Rc<Cell<u64>>,
    limit: ByteCount,
}

impl Progress {
    /// Allows `limit` bytes without progress. It must exceed what the reader buffers.
    pub(crate) fn new(limit: ByteCount) -> Self {
        Self { unused: Rc::default(), limit }
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
        if self.unused.get() > self.limit.get() {
            let message = format!("more than {} bytes that are no message", self.limit);
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }
}
