use masticstair_core::prelude::*;

use crate::front_end::PieceOutcome;

/// Which call an answer is to. Answers name no call, so only the handles of their results show it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerOrigin {
    /// This call: the answer has results, all of them new.
    ThisCall,
    /// An earlier call, of which it repeats a result.
    EarlierCall,
    /// Any call: the answer has no results, as if all pieces failed.
    Unknown,
}

impl AnswerOrigin {
    /// Derives the origin from the outcomes in an answer; `is_known` tells results of earlier answers.
    pub(super) fn of(outcomes: &[PieceOutcome], is_known: impl Fn(&ResultHandle) -> bool) -> Self {
        let mut origin = Self::Unknown;
        for outcome in outcomes {
            match outcome {
                PieceOutcome::Done(handle) if is_known(handle) => return Self::EarlierCall,
                PieceOutcome::Done(_) => origin = Self::ThisCall,
                PieceOutcome::Failed(_) => {}
            }
        }
        origin
    }
}
