use masticstair_core::prelude::*;
use masticstair_policy::stage_queue::StageItem;

use crate::front_end::{PieceFailure, PieceOutcome};

/// Returns the outcome of an item as far as it can be true, if the answer may be to another call: no item is late before its
/// deadline, and the items of a first stage have no inputs that could be gone.
pub(super) fn credible_outcome(
    item: &StageItem,
    outcome: PieceOutcome,
    now: Timestamp,
) -> PieceOutcome {
    let is_credible = match &outcome {
        PieceOutcome::Failed(PieceFailure::Late) => now >= item.deadline,
        PieceOutcome::Failed(PieceFailure::InputGone) => !item.is_first_stage,
        _ => true,
    };
    if is_credible { outcome } else { PieceOutcome::Failed(PieceFailure::Failed) }
}
