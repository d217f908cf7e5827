use masticstair_core::prelude::*;

use super::StageCallItem;

/// A call of a stage service.
#[derive(Clone, Debug)]
pub struct StageCall<'a> {
    /// The endpoint that shall run it.
    pub endpoint: &'a EndpointId,
    /// The pieces.
    pub items: Vec<StageCallItem<'a>>,
}
