use bytes::Bytes;
use masticstair_core::unit::ByteCount;

use super::MemoryShare;

/// The most by which a buffer grows beyond what it needs.
const MAX_SPARE_BYTES: usize = 1 << 20;

/// A body that is read whole into one block. Its memory counts until the last handle of its bytes is dropped.
#[derive(Debug)]
pub(crate) struct KeptBytes {
    buf: Vec<u8>,
    /// Covers the capacity of `buf`.
    share: MemoryShare,
}

impl KeptBytes {
    pub(crate) fn new(share: MemoryShare) -> Self {
        Self { buf: Vec::new(), share }
    }

    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Returns the capacity that `more` further bytes need, of a body of `most` bytes at the most; `None` if the buffer
    /// has it. The share must cover it before `push`.
    pub(crate) fn wanted(&self, more: usize, most: usize) -> Option<ByteCount> {
        let needed = self.buf.len() + more;
        let capacity = (needed + self.buf.len().min(MAX_SPARE_BYTES)).min(most.max(needed));
        (needed > self.buf.capacity()).then(|| ByteCount::new(capacity as u64))
    }

    pub(crate) fn share(&mut self) -> &mut MemoryShare {
        &mut self.share
    }

    /// Appends a piece, for which the share has room.
    pub(crate) fn push(&mut self, piece: &[u8]) {
        let covered = usize::try_from(self.share.size().get()).unwrap_or(usize::MAX);
        if covered > self.buf.capacity() {
            self.buf.reserve_exact(covered - self.buf.len());
        }
        self.buf.extend_from_slice(piece);
    }

    pub(crate) fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
