use smallvec::SmallVec;

use super::StageItem;

/// Pieces of one stage that wait for a call. They differ in nothing that decides, so the queue looks at all of
/// them at once: a stage has tens of pieces.
#[derive(Debug)]
pub(super) struct WaitingStage {
    /// What the pieces have in common; the first of them.
    pub(super) item: StageItem,
    /// The number and the failures of each piece that waits.
    pub(super) pieces: SmallVec<[(u32, u8); 16]>,
}

impl WaitingStage {
    pub(super) fn new(item: StageItem) -> Self {
        let pieces = [(item.piece, item.failures)].into_iter().collect();
        Self { item, pieces }
    }

    pub(super) fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Tells whether an item differs from these only in what makes it another piece.
    pub(super) fn accepts(&self, item: &StageItem) -> bool {
        let StageItem { piece, failures, .. } = self.item;
        StageItem { piece, failures, ..item.clone() } == self.item
    }

    /// Moves as many pieces to `taken` as there is space and room for.
    pub(super) fn take(
        &mut self,
        max_pieces: usize,
        free_bytes: &mut u64,
        taken: &mut Vec<StageItem>,
    ) {
        let size = self.item.result_size.get();
        let fitting_pieces =
            free_bytes.checked_div(size).map_or(max_pieces, |count| count as usize);
        let count = self.pieces.len().min(max_pieces).min(fitting_pieces);
        *free_bytes -= size * count as u64;
        for (piece, failures) in self.pieces.drain(..count) {
            taken.push(StageItem { piece, failures, ..self.item.clone() });
        }
    }
}
