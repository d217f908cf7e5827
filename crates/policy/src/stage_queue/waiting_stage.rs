use smallvec::SmallVec;

use super::StageItem;

/// Waiting pieces of one stage. Their scheduling attributes are equal, so the queue orders them as one entry,
/// which saves work because a stage has tens of pieces.
#[derive(Debug)]
pub(super) struct WaitingStage {
    /// The first piece, which holds the attributes that all pieces share.
    pub(super) item: StageItem,
    /// The index and the number of failed calls of each waiting piece.
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

    /// Returns whether an item differs from the pieces only in its index and failed calls.
    pub(super) fn accepts(&self, item: &StageItem) -> bool {
        let StageItem { piece, failures, .. } = self.item;
        StageItem { piece, failures, ..item.clone() } == self.item
    }

    /// Moves up to `max_pieces` pieces whose results fit into `free_bytes` to `taken`.
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
