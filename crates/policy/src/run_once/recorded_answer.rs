use masticstair_core::prelude::*;

/// The answer of an endpoint as stored in a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordedAnswer {
    /// All bytes of the answer.
    Kept(Box<[u8]>),
    /// The answer was larger than a limit; only its digest and length are stored.
    Omitted {
        /// The SHA-256 digest of the whole answer.
        digest: Sha256Digest,
        /// The length of the whole answer.
        length: ByteCount,
    },
}

impl RecordedAnswer {
    /// Records an answer, without its bytes when it is longer than `limit`.
    pub fn bounded(answer: &[u8], limit: ByteCount) -> Self {
        let length = ByteCount::new(answer.len() as u64);
        if length <= limit {
            return Self::Kept(answer.into());
        }
        Self::Omitted { digest: Sha256Digest::of(answer), length }
    }

    /// Returns the number of bytes that are stored; 0 for an omitted answer.
    pub fn kept_len(&self) -> u64 {
        match self {
            Self::Kept(bytes) => bytes.len() as u64,
            Self::Omitted { .. } => 0,
        }
    }

    /// Returns whether both represent the same answer, stored or omitted.
    pub fn same_answer(&self, other: &Self) -> bool {
        self == other || self.summary() == other.summary()
    }

    pub(super) fn with_limit(&self, limit: ByteCount) -> Self {
        match self {
            Self::Kept(bytes) => Self::bounded(bytes, limit),
            Self::Omitted { .. } => self.clone(),
        }
    }

    fn summary(&self) -> (Sha256Digest, ByteCount) {
        match self {
            Self::Kept(bytes) => (Sha256Digest::of(bytes), ByteCount::new(bytes.len() as u64)),
            Self::Omitted { digest, length } => (*digest, *length),
        }
    }
}
