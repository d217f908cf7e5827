use masticstair_core::prelude::*;
use masticstair_policy::endpoint_table::EndpointView;
use masticstair_policy::routing::RouteRequest;

use super::StageKey;

/// A call that is to begin.
pub struct CallStart<'a> {
    /// The stage.
    pub key: &'a StageKey,
    /// The pipeline, whose usual size the work is assumed to have.
    pub pipeline: &'a PipelineName,
    /// The data centre of this host.
    pub local_data_centre: &'a DataCentreId,
    /// The endpoints of the pool.
    pub candidates: &'a [EndpointView],
    /// The attempt.
    pub route: RouteRequest<'a>,
    /// A random number.
    pub draw: Draw,
}
