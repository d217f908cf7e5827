use bytes::Bytes;
use masticstair_core::unit::ByteCount;

use super::RoomShare;

/// The most by which a buffer grows beyond what it needs.
const MAX_SPARE_BYTES: usize = 1 << 20;

/// An answer that is read whole. Its memory counts until the answer is dropped, so until the client has it.
pub(super) struct AnswerBuffer {
    buf: Vec<u8>,
    /// Covers the capacity of `buf`.
    share: RoomShare,
}

impl AnswerBuffer {
    pub(super) fn new(share: RoomShare) -> Self {
        Self { buf: Vec::new(), share }
    }

    pub(super) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Appends a chunk. Returns false if there is no room for it.
    pub(super) fn push(&mut self, chunk: &[u8]) -> bool {
        let needed = self.buf.len() + chunk.len();
        if needed > self.buf.capacity() {
            let capacity = needed + self.buf.len().min(MAX_SPARE_BYTES);
            if !self.share.resize(ByteCount::new(capacity as u64)) {
                return false;
            }
            self.buf.reserve_exact(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(chunk);
        true
    }

    pub(super) fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for AnswerBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
