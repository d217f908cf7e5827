use masticstair_core::prelude::*;

use super::StageCallItem;

/// A call of a stage service.
#[derive(Clone, Debug)]
pub struct StageCall<'a> {
    /// The endpoint that is to run the call; any other one refuses it.
    pub endpoint: &'a EndpointId,
    /// The pieces; the answer has their outcomes in the same order.
    pub items: Vec<StageCallItem<'a>>,
}
