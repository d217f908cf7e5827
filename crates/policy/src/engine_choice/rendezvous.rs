use sha2::{Digest, Sha256};

/// Returns the weight of a holder for a key (rendezvous hashing); the holder with the highest weight owns the
/// key. All hosts compute the same weights, and few keys move when a holder joins or leaves.
pub fn rendezvous_weight(key: &[u8], holder: &[u8]) -> u64 {
    let digest = Sha256::new().chain_update(holder).chain_update([0]).chain_update(key).finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first)
}

/// Returns the indices of the holders by descending weight, the owner of the key first.
pub fn rendezvous_order<'a>(key: &[u8], holders: impl Iterator<Item = &'a [u8]>) -> Vec<usize> {
    let mut weights: Vec<_> =
        holders.map(|holder| rendezvous_weight(key, holder)).enumerate().collect();
    weights.sort_by_key(|(_, weight)| std::cmp::Reverse(*weight));
    weights.into_iter().map(|(position, _)| position).collect()
}
