use masticstair_core::prelude::*;
use std::collections::HashMap;

use crate::Gateway;

/// Results smaller than this in total may be fetched from anywhere: links between data centres transfer them
/// in less than a millisecond.
const SMALL_RESULTS_BYTES: u64 = 1 << 20;

/// The results that the target of a route needs.
#[derive(Clone, Debug, Default)]
pub(super) struct StageResults {
    pub(super) handles: Vec<ResultHandle>,
    /// The data centre that holds most of their bytes; none when the results are small.
    pub(super) near: Option<DataCentreId>,
}

impl StageResults {
    /// Joins the results of stages; each stage comes with the size of one of its results.
    pub(super) fn new(gw: &Gateway, stages: Vec<(ByteCount, Vec<ResultHandle>)>) -> Self {
        let near = data_centre_of_most(gw, &stages);
        let handles = stages.into_iter().flat_map(|(_, handles)| handles).collect();
        Self { handles, near }
    }
}

fn data_centre_of_most(
    gw: &Gateway,
    stages: &[(ByteCount, Vec<ResultHandle>)],
) -> Option<DataCentreId> {
    let directory = gw.directory.borrow();
    let mut bytes: HashMap<&DataCentreId, u64> = HashMap::new();
    let large =
        stages.iter().filter(|(size, of)| size.get() * of.len() as u64 >= SMALL_RESULTS_BYTES);
    for (size, handles) in large {
        for address in handles.iter().filter_map(gw.front_end.result_address) {
            if let Some(data_centre) = directory.data_centre_at(address) {
                *bytes.entry(data_centre).or_default() += size.get();
            }
        }
    }
    bytes.into_iter().max_by_key(|(_, bytes)| *bytes).map(|(data_centre, _)| data_centre.clone())
}
