use masticstair_core::prelude::*;

use super::StageSource;

/// A piece in a call of a stage service.
#[derive(Clone, Copy, Debug)]
pub struct StageCallItem<'a> {
    /// The request.
    pub call: &'a CallId,
    /// The position of the stage in its route.
    pub stage: u32,
    /// The number of the piece in the stage.
    pub piece: u32,
    /// The time that is left for it.
    pub left: Millis,
    /// What it works on.
    pub source: &'a StageSource,
}
