use std::fmt;

/// FNV-1a, 64 bits; <http://www.isthe.com/chongo/tech/comp/fnv/>.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Identifies a record in digests: a hash of the kind and the id.
///
/// A hash collision of two ids only makes the digest miss a difference between them; the merge uses the ids.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RecordKey(u64);

impl RecordKey {
    /// Wraps a hash, as received from a peer.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the 64-bit hash.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the key of the record of a host.
    pub fn of_host(id: &str) -> Self {
        Self(stable_hash(&[b"h", id.as_bytes()]))
    }

    /// Returns the key of the record of an endpoint.
    pub fn of_endpoint(id: &str) -> Self {
        Self(stable_hash(&[b"e", id.as_bytes()]))
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Hashes the version fields of a record to the 32-bit form of digests.
pub(crate) fn version_hash(fields: &[&[u8]]) -> u32 {
    (stable_hash(fields) >> 32) as u32
}

/// Hashes fields to a value that is the same on every host. The length after each field separates it from the
/// next one.
fn stable_hash(fields: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for field in fields {
        let len = (field.len() as u64).to_le_bytes();
        for byte in field.iter().chain(&len) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    // FNV leaves the high bits of short inputs poorly mixed, and buckets are chosen by the upper half.
    hash ^= hash >> 32;
    hash.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
