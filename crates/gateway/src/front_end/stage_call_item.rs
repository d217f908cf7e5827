use masticstair_core::prelude::*;

use super::StageSource;

/// One piece in a call of a stage service.
#[derive(Clone, Copy, Debug)]
pub struct StageCallItem<'a> {
    /// The request that the piece belongs to.
    pub call: &'a CallId,
    /// The position of the stage in its route.
    pub stage: u32,
    /// The position of the piece in the stage.
    pub piece: u32,
    /// The time until the deadline of the piece.
    pub left: Millis,
    /// The input of the piece.
    pub source: &'a StageSource,
}
