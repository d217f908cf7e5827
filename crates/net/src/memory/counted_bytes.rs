use bytes::Bytes;

use super::MemoryShare;

/// Bytes with the share that covers them.
#[derive(Debug)]
pub(crate) struct CountedBytes {
    bytes: Bytes,
    _share: MemoryShare,
}

impl CountedBytes {
    /// Returns bytes whose memory counts until they are dropped.
    pub(crate) fn wrap(bytes: Bytes, share: MemoryShare) -> Bytes {
        Bytes::from_owner(Self { bytes, _share: share })
    }
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
