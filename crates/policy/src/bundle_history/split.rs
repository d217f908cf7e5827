//! Splits content into pieces at places that depend on the content near them only, so that two bundles
//! that differ in a few lines share all other pieces.

/// A piece ends no sooner than this. Lines that repeat in every table would otherwise end a piece each.
const MIN_PIECE: usize = 2_048;

/// One line in so many ends a piece, once it is long enough.
const LINES_PER_CUT: u64 = 16;

/// Returns the pieces of `content` in order; joined, they are the content. Pieces end at line ends.
pub(super) fn split(content: &str) -> impl Iterator<Item = &str> {
    let mut rest = content;
    std::iter::from_fn(move || {
        let (piece, tail) = rest.split_at(piece_len(rest));
        rest = tail;
        (!piece.is_empty()).then_some(piece)
    })
}

fn piece_len(content: &str) -> usize {
    let mut len = 0;
    for line in content.split_inclusive('\n') {
        len += line.len();
        if len >= MIN_PIECE && line_hash(line).is_multiple_of(LINES_PER_CUT) {
            return len;
        }
    }
    len
}

/// FNV-1a, with a final mix: in the plain hash, lines that differ in their last digits only have upper
/// bits that follow a pattern, and pieces become several times longer than intended.
fn line_hash(line: &str) -> u64 {
    let hash = line.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}
