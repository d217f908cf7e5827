//! Digests of the records of a host, for anti-entropy.
//!
//! A host sends the hashes of its records by bucket. The remote host answers with its hashes and with summaries
//! of its records in the buckets that differ. The first host then sends its own version of every record that
//! differs and requests the remote one. A record that only one of them has counts as different.

use std::collections::BTreeMap;

use super::{RecordKey, RecordSummary};

/// The fewest and most buckets of a digest.
const MIN_BUCKETS: usize = 16;
const MAX_BUCKETS: usize = 512;

/// The records that two hosts have to exchange, as seen by the host that began.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Difference {
    /// Records that the remote host has in another version, or that only it has.
    pub wants: Vec<RecordKey>,
    /// Records that the remote host has in another version, or does not have.
    pub offers: Vec<RecordKey>,
}

/// Returns the number of buckets for this many records: about one for two records, and a power of two.
pub fn bucket_count(records: usize) -> usize {
    (records / 2).next_power_of_two().clamp(MIN_BUCKETS, MAX_BUCKETS)
}

/// Hashes records by bucket; `count` is a power of two.
pub fn buckets(records: &[RecordSummary], count: usize) -> Vec<u32> {
    let mut hashes = vec![0; count];
    for record in records {
        hashes[bucket_of(record.key, count)] ^= mix(record);
    }
    hashes
}

/// Hashes all records to one number that is not 0, which messages use for "no hash".
pub fn table_hash(records: &[RecordSummary]) -> u64 {
    let hash = records.iter().fold(0, |hash, r| {
        hash ^ (r.key.get() ^ u64::from(r.version)).wrapping_mul(HASH_MULTIPLIER)
    });
    hash.max(1)
}

/// Returns the records of the buckets whose hashes differ.
pub fn differing(
    records: &[RecordSummary],
    local: &[u32],
    remote: &[u32],
    limit: usize,
) -> Vec<RecordSummary> {
    if local.len() != remote.len() || local.is_empty() {
        return Vec::new();
    }
    let differs = |r: &&RecordSummary| {
        let bucket = bucket_of(r.key, local.len());
        local[bucket] != remote[bucket]
    };
    records.iter().filter(differs).take(limit).copied().collect()
}

/// Compares the records of the buckets that differ.
pub fn compare(local: &[RecordSummary], remote: &[RecordSummary]) -> Difference {
    let local: BTreeMap<_, _> = local.iter().map(|r| (r.key, r.version)).collect();
    let remote: BTreeMap<_, _> = remote.iter().map(|r| (r.key, r.version)).collect();
    let missing = |a: &BTreeMap<RecordKey, u32>, b: &BTreeMap<RecordKey, u32>| {
        a.iter().filter(|(k, v)| b.get(k) != Some(*v)).map(|(k, _)| *k).collect()
    };
    Difference { wants: missing(&remote, &local), offers: missing(&local, &remote) }
}

/// An odd multiplier with evenly distributed bits: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

fn bucket_of(key: RecordKey, count: usize) -> usize {
    // The high bits of a product are mixed better than the low ones.
    (key.get() >> 32) as usize % count
}

fn mix(record: &RecordSummary) -> u32 {
    let hash = (record.key.get() ^ u64::from(record.version)).wrapping_mul(HASH_MULTIPLIER);
    (hash >> 32) as u32
}
