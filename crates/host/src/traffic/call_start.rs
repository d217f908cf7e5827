use masticstair_core::prelude::*;
use masticstair_policy::endpoint_table::EndpointView;
use masticstair_policy::routing::RouteRequest;

use super::StageKey;

/// The parameters of a call that is about to start.
pub(crate) struct CallStart<'a> {
    pub(crate) key: &'a StageKey,
    /// The expected size of the work is the mean answer size of this pipeline.
    pub(crate) pipeline: &'a PipelineName,
    /// The data centre of this host; endpoints in others get an assumed round trip time.
    pub(crate) local_data_centre: &'a DataCentreId,
    /// The endpoints of the pool that may get new work.
    pub(crate) candidates: &'a [EndpointView],
    pub(crate) route: RouteRequest<'a>,
    pub(crate) draw: Draw,
}
