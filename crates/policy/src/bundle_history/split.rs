//! Splits content into chunks at places that depend on the content near them only, so that two bundles
//! that differ in a few lines share all other chunks.

/// A chunk ends no sooner than this. Lines that repeat in every table would otherwise end a chunk each.
const MIN_CHUNK_BYTES: usize = 2_048;

/// One line in so many ends a chunk, once it is long enough.
const MEAN_LINES_PER_CHUNK: u64 = 16;

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
        if len >= MIN_CHUNK_BYTES && line_hash(line).is_multiple_of(MEAN_LINES_PER_CHUNK) {
            return len;
        }
    }
    len
}

/// FNV-1a, with a final mix: in the plain hash, lines that differ in their last digits only have upper
/// bits that follow a pattern, and chunks become several times longer than intended.
fn line_hash(line: &str) -> u64 {
    let hash = line.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}
