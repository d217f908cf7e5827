//! Content-defined chunking: each boundary depends only on the content near it, so that two bundles that
//! differ in a few lines share all other chunks.

/// The minimum size of a chunk. Without it, a line that repeats in every table could end a chunk each time.
const MIN_CHUNK_BYTES: usize = 2_048;

/// One line in this many ends a chunk once the chunk has its minimum size.
const LINES_PER_BOUNDARY: u64 = 16;

/// Returns the chunks of `content` in order; joined, they are the content. Chunks end at line ends.
pub(super) fn split(content: &str) -> impl Iterator<Item = &str> {
    let mut rest = content;
    std::iter::from_fn(move || {
        let (chunk, tail) = rest.split_at(chunk_len(rest));
        rest = tail;
        (!chunk.is_empty()).then_some(chunk)
    })
}

fn chunk_len(content: &str) -> usize {
    let mut len = 0;
    for line in content.split_inclusive('\n') {
        len += line.len();
        if len >= MIN_CHUNK_BYTES && line_hash(line).is_multiple_of(LINES_PER_BOUNDARY) {
            return len;
        }
    }
    len
}

/// FNV-1a with a final mix. In plain FNV-1a, the upper bits of lines that differ only in their last digits
/// are correlated, and chunks become several times longer than intended.
fn line_hash(line: &str) -> u64 {
    let hash = line.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}
